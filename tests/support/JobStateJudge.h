#ifndef BAOBABCOVE_TESTS_SUPPORT_JOBSTATEJUDGE_H
#define BAOBABCOVE_TESTS_SUPPORT_JOBSTATEJUDGE_H

#include "RunJudge.h"

#include "baobabcove/Clock.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>

namespace baobabcove::testing {

/// A question to an entry, judged once its answer is there.
struct Question {
  std::string Entry;
  Instant AskedAt{};
  /// Whether neither the entry nor its way to the store was disturbed for the
  /// users' contact time before the question and until the answer.
  bool IsInTouch = false;
};

/// Judges what entries tell of jobs against what workers have begun: the state
/// of a job, and the number of a queue's waiting jobs. Not thread-safe.
class JobStateJudge {
public:
  /// The users' bounds: the age of a count, and the time until what has been
  /// accepted or begun is shown.
  static constexpr Milliseconds MaxCountAge{2000};
  static constexpr Milliseconds VisibleAfter{3000};

  /// Violations are reported to \p Reports.
  explicit JobStateJudge(RunJudge &Reports) : Reports(Reports) {}

  /// A job is being submitted to \p Queue, and may be accepted from now on.
  void noteSubmitted(const std::string &Job, const std::string &Queue);
  /// A caller has received the acceptance of a job.
  void noteAccepted(const std::string &Job, Instant At);
  /// A worker has begun a task of a job.
  void noteBegun(const std::string &Job);
  /// The end of a run of a job was acknowledged, so that it is known to have
  /// begun.
  void noteAcknowledged(const std::string &Job, Instant At);

  /// An entry has told the state of a job. \p HasRun tells that a run of it has
  /// been listed by a worker for VisibleAfter, in calm.
  void noteState(const Question &Asked, const std::string &Job,
                 const std::string &State, bool IsCalm, bool HasRun);
  /// An entry has told the number of waiting jobs of a queue. \p Running holds
  /// the jobs of which a run has been listed for MaxCountAge.
  void noteWaiting(const Question &Asked, const std::string &Queue,
                   std::size_t Count, bool IsCalm,
                   const std::set<std::string> &Running);

  /// Returns the largest number of jobs that were owed in a count.
  std::size_t mostOwed() const { return MostOwed; }

private:
  struct Job {
    std::string Queue;
    Instant AcceptedAt = Instant::max();
    bool HasBegun = false;
    bool HasEnded = false;
    Instant AcknowledgedAt = Instant::max();
  };

  RunJudge &Reports;
  std::map<std::string, Job> Jobs;
  /// The jobs that an entry has told as running.
  std::map<std::string, std::set<std::string>> ToldRunning;
  std::size_t MostOwed = 0;
};

} // namespace baobabcove::testing

#endif // BAOBABCOVE_TESTS_SUPPORT_JOBSTATEJUDGE_H
