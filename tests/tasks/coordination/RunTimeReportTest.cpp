#include "tasks/coordination/RunTimeReport.h"

#include "base/StateDump.h"

#include <CppUTest/TestHarness.h>

#include <memory>

using namespace baobabcove;

TEST_GROUP(RunTimeReport) {
  TaskRunTimes RunTimes{RunTimeSettings()};
  Metrics Stats;

  /// Completes \p Jobs jobs with one task of \p Ms on \p Node.
  void complete(const std::string &Node, int Jobs, int Ms) {
    for (int J = 0; J < Jobs; ++J) {
      auto Spec = std::make_shared<wire::TaskJobSpec>();
      Spec->set_id(Node + std::to_string(J));
      Spec->set_queue("plans");
      wire::StepSpec &Step = *Spec->add_steps();
      Step.set_count(1);
      Step.set_estimate_ms(4000);
      TaskJob Job(Spec);
      Job.task(0).Worker = WorkerIncarnation(Node + "/w#1");
      Job.task(0).Listed = true;
      Job.task(0).Pace.note(0, BootInstant(Milliseconds(1000)));
      RunTimes.noteDone(Job, 0, BootInstant(Milliseconds(1000 + Ms)));
    }
  }
};

// Guards against a model whose error cannot be seen.
TEST(RunTimeReport, CountsSamplesAndTheirPredictions) {
  complete("n1", 3, 4000);
  recordPredictions(RunTimes, Stats);
  recordPredictions(RunTimes, Stats);
  CHECK(Stats.text().find("run_time_samples 3") != std::string::npos);
  CHECK(Stats.text().find("run_time_predicted_percent_count 3") !=
        std::string::npos);
}

// Guards against a state dump that does not explain a placement or a wait.
TEST(RunTimeReport, ShowsRowsAndSpeeds) {
  complete("n1", 9, 3000);
  complete("n2", 9, 6000);
  recordSpeeds(RunTimes, Stats);
  const std::string Text = dumpText(describe(RunTimes));
  CHECK(Text.find("\"samples\"") != std::string::npos);
  CHECK(Text.find("plans|") != std::string::npos);
  CHECK(Text.find("p90_ms") != std::string::npos);
  CHECK(Text.find("\"n2\"") != std::string::npos);
  CHECK(Stats.text().find("worker_speed_percent_count 2") != std::string::npos);
}
