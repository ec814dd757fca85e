#include "coordinator/GangTracker.h"

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

TEST_GROUP(GangTracker) {
  GangTracker Tracker;
  Instant Now{Milliseconds(100000)};

  TrackedGang &gang(int Members) {
    TrackedGang Gang;
    Gang.Job = JobId("j");
    Gang.Number = Attempt(1);
    Gang.AbsenceCountsFrom = Now;
    Gang.CheckpointedProgress = Milliseconds(40);
    for (int I = 0; I < Members; ++I) {
      wire::GangMember Member;
      Member.set_node("n" + std::to_string(I));
      Member.set_incarnation(7);
      Gang.Members.push_back(Member);
    }
    Tracker.add(Gang);
    return *Tracker.find(JobId("j"), Attempt(1));
  }

  GangTransition report(TrackedGang & Gang, int Member, wire::GangPhase Phase,
                        std::uint64_t Progress = 0, bool Checkpointed = false) {
    wire::Heartbeat Heartbeat = heartbeat(Member, 7);
    wire::GangPart &Part = *Heartbeat.mutable_worker()->add_parts();
    Part.set_job("j");
    Part.set_attempt(1);
    Part.set_phase(Phase);
    Part.set_progress_ms(Progress);
    Part.set_checkpointed(Checkpointed);
    Part.set_may_have_run(Phase != wire::RESERVED && Phase != wire::ARMED);
    return Tracker.handleReport(Gang, Heartbeat, Now);
  }

  static wire::Heartbeat heartbeat(int Member, std::uint64_t Incarnation) {
    wire::Heartbeat Heartbeat;
    Heartbeat.set_node("n" + std::to_string(Member));
    Heartbeat.set_incarnation(Incarnation);
    return Heartbeat;
  }
};

TEST(GangTracker, ReportsAllRunningOnceWhenEveryMemberRuns) {
  TrackedGang &Gang = gang(2);
  CHECK_TRUE(GangTransition::None == report(Gang, 0, wire::RUNNING));
  CHECK_TRUE(GangTransition::AllRunning == report(Gang, 1, wire::RUNNING));
  CHECK_TRUE(GangTransition::None == report(Gang, 1, wire::RUNNING));
}

TEST(GangTracker,
     MarksUnreachableMembersLostWhenTheGangHasBeenBrokenForTheDelay) {
  TrackedGang &Gang = gang(3);
  const auto MarkLost = [&](int AfterMs) {
    return Tracker.markUnreachableMembersLost(
        Gang, Now + Milliseconds(AfterMs), Milliseconds(20000),
        [](const NodeId &Node) { return Node != NodeId("n0"); });
  };
  CHECK_TRUE(GangTransition::None == MarkLost(99000));
  CHECK_TRUE(GangTransition::Broken == report(Gang, 0, wire::LOST));
  CHECK_TRUE(GangTransition::None == MarkLost(20000));
  CHECK_TRUE(GangTransition::Ended == MarkLost(20001));
  CHECK_TRUE(GangResult::Lost == Gang.End.Result);
  CHECK_TRUE(Gang.End.MayHaveRun);
}

TEST(GangTracker, DoesNotMarkAReachableMemberLostWhenOthersAreUnreachable) {
  TrackedGang &Gang = gang(3);
  report(Gang, 0, wire::FAILED);
  report(Gang, 1, wire::RUNNING);
  CHECK_TRUE(GangTransition::Broken ==
             Tracker.markUnreachableMembersLost(
                 Gang, Now + Milliseconds(30000), Milliseconds(20000),
                 [](const NodeId &Node) { return Node == NodeId("n2"); }));
  CHECK_TRUE(wire::RUNNING == Gang.Parts[1].phase());
  CHECK_TRUE(wire::LOST == Gang.Parts[2].phase());
}

TEST(GangTracker,
     DoesNotMarkUnreachableMembersLostWhileACheckpointMayBeInProgress) {
  TrackedGang &Gang = gang(2);
  report(Gang, 0, wire::STOPPED, 500, true);
  CHECK_TRUE(GangTransition::None == Tracker.markUnreachableMembersLost(
                                         Gang, Now + Milliseconds(99000),
                                         Milliseconds(20000),
                                         [](const NodeId &) { return true; }));
}

TEST(GangTracker, SucceedsOnlyWhenEveryMemberHasSucceeded) {
  TrackedGang &Gang = gang(2);
  report(Gang, 0, wire::SUCCEEDED, 900);
  CHECK_TRUE(GangTransition::Ended == report(Gang, 1, wire::SUCCEEDED, 1000));
  CHECK_TRUE(GangResult::Succeeded == Gang.End.Result);
  LONGS_EQUAL(1000, Gang.End.Progress.count());
}

TEST(GangTracker, IsBrokenWhenAMemberFailsAndBlamesItsWorker) {
  TrackedGang &Gang = gang(2);
  report(Gang, 0, wire::RUNNING);
  CHECK_TRUE(GangTransition::Broken == report(Gang, 1, wire::FAILED));
  CHECK_TRUE(GangTransition::Ended == report(Gang, 0, wire::STOPPED));
  CHECK_TRUE(GangResult::Failed == Gang.End.Result);
  STRCMP_EQUAL("n1", Gang.End.FaultyWorker.str().c_str());
}

TEST(GangTracker, KeepsTheShortestProgressWhenEveryMemberHasACheckpoint) {
  TrackedGang &Gang = gang(2);
  report(Gang, 0, wire::STOPPED, 500, true);
  CHECK_TRUE(GangTransition::Ended ==
             report(Gang, 1, wire::STOPPED, 450, true));
  LONGS_EQUAL(450, Gang.End.Progress.count());
}

TEST(GangTracker, KeepsTheEarlierProgressWhenOneMemberHasNoCheckpoint) {
  TrackedGang &Gang = gang(2);
  report(Gang, 0, wire::STOPPED, 500, true);
  report(Gang, 1, wire::STOPPED, 450, false);
  LONGS_EQUAL(40, Gang.End.Progress.count());
  CHECK_FALSE(Gang.End.Checkpointed);
}

TEST(GangTracker, HasNotRunWhenAPartIsMissingInTheSameIncarnation) {
  TrackedGang &Gang = gang(1);
  CHECK_TRUE(GangTransition::Ended ==
             Tracker.handleReport(Gang, heartbeat(0, 7), Now));
  CHECK_FALSE(Gang.End.MayHaveRun);
}

TEST(GangTracker, MayHaveRunWhenAPartIsMissingInAnotherIncarnation) {
  TrackedGang &Gang = gang(1);
  CHECK_TRUE(GangTransition::Ended ==
             Tracker.handleReport(Gang, heartbeat(0, 8), Now));
  CHECK_TRUE(Gang.End.MayHaveRun);
}

TEST(GangTracker, IgnoresAMissingPartInReportsMadeBeforeTheStart) {
  TrackedGang &Gang = gang(1);
  Gang.AbsenceCountsFrom = Now + Milliseconds(1);
  CHECK_TRUE(GangTransition::None ==
             Tracker.handleReport(Gang, heartbeat(0, 7), Now));
}

TEST(GangTracker, ReturnsPartsOfUnknownGangsAsStray) {
  wire::Heartbeat Heartbeat = heartbeat(0, 7);
  Heartbeat.mutable_worker()->add_parts()->set_job("stray");
  LONGS_EQUAL(1, Tracker.strayParts(Heartbeat).size());
}

// Guards against an attempt that ends once for each member that failed.
TEST(GangTracker, EndsAnAttemptOnceWhenSeveralMembersFail) {
  TrackedGang &Gang = gang(2);
  report(Gang, 0, wire::RUNNING);
  report(Gang, 1, wire::RUNNING);
  CHECK_TRUE(GangTransition::Broken == report(Gang, 0, wire::FAILED));
  LONGS_EQUAL(1, Tracker.gangsOn("n1").size());
  CHECK_TRUE(GangTransition::Ended == report(Gang, 1, wire::FAILED));
  // Reports change only the gangs that have not ended.
  LONGS_EQUAL(0, Tracker.gangsOn("n0").size());
  LONGS_EQUAL(0, Tracker.gangsOn("n1").size());
}
