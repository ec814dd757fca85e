#include "coordinator/WorkerLossDetector.h"

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

TEST_GROUP(WorkerLossDetector) {
  LossTimeouts Timeouts{Milliseconds(6000), Milliseconds(60000),
                        Milliseconds(2500)};
  WorkerLossDetector Detector{Timeouts};
  Instant Now{Milliseconds(1000000)};

  wire::Heartbeat entry(const std::string &Node, int AgeMs) {
    wire::Heartbeat Heartbeat;
    Heartbeat.set_node(Node);
    auto *Reported = Heartbeat.add_heard_workers();
    Reported->set_node("w");
    Reported->set_age_ms(static_cast<std::uint64_t>(AgeMs));
    return Heartbeat;
  }
};

TEST(WorkerLossDetector, ReportsLossWhenNoEntryReceivesHeartbeats) {
  Detector.reset({}, Now);
  const Instant Later = Now + Milliseconds(7000);
  CHECK_FALSE(Detector.isLost("w", Later - Milliseconds(100), Later));
  CHECK_TRUE(Detector.isLost("w", Now, Later));
}

TEST(WorkerLossDetector, ReportsNoLossRightAfterReset) {
  Detector.reset({}, Now);
  CHECK_FALSE(Detector.isLost("w", Instant(), Now + Milliseconds(5999)));
}

TEST(WorkerLossDetector, ReportsNoLossWhileAnotherEntryReceivesHeartbeats) {
  Detector.reset({"e2"}, Now);
  const Instant Later = Now + Milliseconds(7000);
  Detector.entryHeartbeat(entry("e2", 300), Later);
  CHECK_FALSE(Detector.isLost("w", Now, Later));
  Detector.entryHeartbeat(entry("e2", 6500), Later);
  CHECK_TRUE(Detector.isLost("w", Now, Later));
}

TEST(WorkerLossDetector, ReportsNoLossUntilAnUnreachableEntryExpires) {
  Detector.reset({"e2"}, Now);
  CHECK_FALSE(Detector.isLost("w", Now, Now + Milliseconds(30000)));
  const Instant Late = Now + Milliseconds(70000);
  for (const std::string &Entry : Detector.expiredEntries(Late))
    Detector.removeEntry(Entry);
  CHECK_TRUE(Detector.isLost("w", Now, Late));
}

TEST(WorkerLossDetector, IgnoresAnEntryThatHasLeft) {
  Detector.reset({"e2"}, Now);
  wire::Heartbeat Leaving = entry("e2", 100);
  Leaving.set_leaving(true);
  Detector.entryHeartbeat(Leaving, Now);
  CHECK_TRUE(Detector.isLost("w", Now, Now + Milliseconds(7000)));
}
