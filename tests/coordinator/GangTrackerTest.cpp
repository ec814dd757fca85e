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
    Gang.SettledAt = Now;
    Gang.Kept = Milliseconds(40);
    for (int I = 0; I < Members; ++I) {
      wire::GangMember Member;
      Member.set_node("n" + std::to_string(I));
      Member.set_incarnation(7);
      Gang.Members.push_back(Member);
    }
    Tracker.add(Gang);
    return *Tracker.find(JobId("j"), Attempt(1));
  }

  GangNews report(TrackedGang & Gang, int Member, wire::GangPhase Phase,
                  std::uint64_t Progress = 0, bool Checkpointed = false) {
    wire::Heartbeat Beat = beat(Member, 7);
    wire::GangPart &Part = *Beat.mutable_worker()->add_parts();
    Part.set_job("j");
    Part.set_attempt(1);
    Part.set_phase(Phase);
    Part.set_progress_ms(Progress);
    Part.set_checkpointed(Checkpointed);
    Part.set_may_have_run(Phase != wire::RESERVED && Phase != wire::ARMED);
    return Tracker.observe(Gang, Beat, Now);
  }

  static wire::Heartbeat beat(int Member, std::uint64_t Life) {
    wire::Heartbeat Beat;
    Beat.set_node("n" + std::to_string(Member));
    Beat.set_incarnation(Life);
    return Beat;
  }
};

TEST(GangTracker, RunsOnceEveryMemberRuns) {
  TrackedGang &Gang = gang(2);
  CHECK_TRUE(GangNews::Nothing == report(Gang, 0, wire::RUNNING));
  CHECK_TRUE(GangNews::AllRunning == report(Gang, 1, wire::RUNNING));
  CHECK_TRUE(GangNews::Nothing == report(Gang, 1, wire::RUNNING));
}

TEST(GangTracker, TakesSilentMembersForLostSomeLeasesAfterOneHasTold) {
  TrackedGang &Gang = gang(3);
  const auto Release = [&](int AfterMs) {
    return Tracker.releaseSilent(
        Gang, Now + Milliseconds(AfterMs), Milliseconds(20000),
        [](const NodeId &Node) { return Node != NodeId("n0"); });
  };
  CHECK_TRUE(GangNews::Nothing == Release(99000));
  CHECK_TRUE(GangNews::Broken == report(Gang, 0, wire::LOST));
  CHECK_TRUE(GangNews::Nothing == Release(20000));
  CHECK_TRUE(GangNews::Ended == Release(20001));
  CHECK_TRUE(GangResult::Lost == Gang.End.Result);
  CHECK_TRUE(Gang.End.MayHaveRun);
}

TEST(GangTracker, KeepsAMemberThatIsHeardWhenOthersAreSilent) {
  TrackedGang &Gang = gang(3);
  report(Gang, 0, wire::FAILED);
  report(Gang, 1, wire::RUNNING);
  CHECK_TRUE(GangNews::Broken ==
             Tracker.releaseSilent(
                 Gang, Now + Milliseconds(30000), Milliseconds(20000),
                 [](const NodeId &Node) { return Node == NodeId("n2"); }));
  CHECK_TRUE(wire::RUNNING == Gang.Parts[1].phase());
  CHECK_TRUE(wire::LOST == Gang.Parts[2].phase());
}

TEST(GangTracker, KeepsSilentMembersWhileACheckpointMayBeUnderWay) {
  TrackedGang &Gang = gang(2);
  report(Gang, 0, wire::STOPPED, 500, true);
  CHECK_TRUE(GangNews::Nothing ==
             Tracker.releaseSilent(Gang, Now + Milliseconds(99000),
                                   Milliseconds(20000),
                                   [](const NodeId &) { return true; }));
}

TEST(GangTracker, SucceedsOnlyWhenEveryMemberHas) {
  TrackedGang &Gang = gang(2);
  report(Gang, 0, wire::SUCCEEDED, 900);
  CHECK_TRUE(GangNews::Ended == report(Gang, 1, wire::SUCCEEDED, 1000));
  CHECK_TRUE(GangResult::Succeeded == Gang.End.Result);
  LONGS_EQUAL(1000, Gang.End.Progress.count());
}

TEST(GangTracker, IsBrokenByOneLostMemberAndBlamesAFailedOne) {
  TrackedGang &Gang = gang(2);
  report(Gang, 0, wire::RUNNING);
  CHECK_TRUE(GangNews::Broken == report(Gang, 1, wire::FAILED));
  CHECK_TRUE(GangNews::Ended == report(Gang, 0, wire::STOPPED));
  CHECK_TRUE(GangResult::Failed == Gang.End.Result);
  STRCMP_EQUAL("n1", Gang.End.Blamed.str().c_str());
}

TEST(GangTracker, KeepsTheShortestProgressOfAWholeCheckpoint) {
  TrackedGang &Gang = gang(2);
  report(Gang, 0, wire::STOPPED, 500, true);
  CHECK_TRUE(GangNews::Ended == report(Gang, 1, wire::STOPPED, 450, true));
  LONGS_EQUAL(450, Gang.End.Progress.count());
}

TEST(GangTracker, KeepsTheEarlierProgressWhenOneMemberHasNoCheckpoint) {
  TrackedGang &Gang = gang(2);
  report(Gang, 0, wire::STOPPED, 500, true);
  report(Gang, 1, wire::STOPPED, 450, false);
  LONGS_EQUAL(40, Gang.End.Progress.count());
  CHECK_FALSE(Gang.End.Checkpointed);
}

TEST(GangTracker, KnowsThatAPartMissingInTheSameLifeNeverRan) {
  TrackedGang &Gang = gang(1);
  CHECK_TRUE(GangNews::Ended == Tracker.observe(Gang, beat(0, 7), Now));
  CHECK_FALSE(Gang.End.MayHaveRun);
}

TEST(GangTracker, CannotTellOfAPartMissingInAnotherLife) {
  TrackedGang &Gang = gang(1);
  CHECK_TRUE(GangNews::Ended == Tracker.observe(Gang, beat(0, 8), Now));
  CHECK_TRUE(Gang.End.MayHaveRun);
}

TEST(GangTracker, WaitsForReportsThatWereMadeBeforeTheStart) {
  TrackedGang &Gang = gang(1);
  Gang.SettledAt = Now + Milliseconds(1);
  CHECK_TRUE(GangNews::Nothing == Tracker.observe(Gang, beat(0, 7), Now));
}

TEST(GangTracker, NamesPartsOfNoKnownGang) {
  wire::Heartbeat Beat = beat(0, 7);
  Beat.mutable_worker()->add_parts()->set_job("stray");
  LONGS_EQUAL(1, Tracker.strays(Beat).size());
}
