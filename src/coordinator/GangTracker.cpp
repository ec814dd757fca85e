#include "coordinator/GangTracker.h"

#include <algorithm>

namespace baobabcove {

namespace {

bool isTerminal(wire::GangPhase Phase) {
  return Phase == wire::SUCCEEDED || Phase == wire::FAILED ||
         Phase == wire::STOPPED || Phase == wire::LOST;
}

bool hasPhase(const TrackedGang &Gang, wire::GangPhase Phase) {
  return std::any_of(
      Gang.Parts.begin(), Gang.Parts.end(),
      [&](const wire::GangPart &Part) { return Part.phase() == Phase; });
}

/// Returns whether \p Part has ended in a way that makes the lead agent stop
/// the whole gang at once, even while members are writing checkpoints.
bool breaksGang(const wire::GangPart &Part) {
  return isTerminal(Part.phase()) && Part.phase() != wire::SUCCEEDED &&
         !(Part.phase() == wire::STOPPED && Part.checkpointed());
}

NodeId firstNodeInPhase(const TrackedGang &Gang, wire::GangPhase Phase) {
  for (std::size_t I = 0; I < Gang.Parts.size(); ++I)
    if (Gang.Parts[I].phase() == Phase)
      return NodeId(Gang.Members[I].node());
  return NodeId();
}

} // namespace

void GangTracker::add(TrackedGang Gang) {
  Gang.Parts.resize(Gang.Members.size());
  Key GangKey{Gang.Job, Gang.Number.value()};
  Gangs[GangKey] = std::move(Gang);
}

TrackedGang *GangTracker::find(const JobId &Job, Attempt Number) {
  const auto Found = Gangs.find({Job, Number.value()});
  return Found == Gangs.end() ? nullptr : &Found->second;
}

void GangTracker::erase(const JobId &Job, Attempt Number) {
  Gangs.erase({Job, Number.value()});
}

std::vector<TrackedGang *> GangTracker::gangsOn(const std::string &Node) {
  std::vector<TrackedGang *> Result;
  for (auto &[GangKey, Gang] : Gangs) {
    if (Gang.Ended)
      continue;
    for (const auto &Member : Gang.Members)
      if (Member.node() == Node)
        Result.push_back(&Gang);
  }
  return Result;
}

GangTransition GangTracker::handleReport(TrackedGang &Gang,
                                         const wire::Heartbeat &Report,
                                         Instant Now) {
  for (std::size_t I = 0; I < Gang.Members.size(); ++I) {
    if (Gang.Members[I].node() != Report.node() ||
        isTerminal(Gang.Parts[I].phase()))
      continue;
    updatePart(Gang, I, Report, Now);
    if (breaksGang(Gang.Parts[I]) && !Gang.BrokenSince)
      Gang.BrokenSince = Now;
  }
  return evaluate(Gang);
}

void GangTracker::updatePart(TrackedGang &Gang, std::size_t Member,
                             const wire::Heartbeat &Report, Instant Now) {
  wire::GangPart &LastReported = Gang.Parts[Member];
  const auto &Parts = Report.worker().parts();
  const auto Found =
      std::find_if(Parts.begin(), Parts.end(), [&](const auto &Part) {
        return Part.job() == Gang.Job.str() &&
               Part.attempt() == Gang.Number.value();
      });
  if (Found != Parts.end()) {
    LastReported = *Found;
    return;
  }
  if (Now < Gang.AbsenceCountsFrom)
    return;
  // An agent keeps every part that has run until it is ordered to delete it.
  // A part missing in the same incarnation of the agent has therefore never
  // run; in another incarnation that is unknown.
  const bool SameIncarnation =
      Report.incarnation() == Gang.Members[Member].incarnation();
  LastReported.set_may_have_run(!SameIncarnation);
  LastReported.set_phase(wire::LOST);
}

GangTransition GangTracker::markMemberLost(TrackedGang &Gang,
                                           const std::string &Node) {
  for (std::size_t I = 0; I < Gang.Members.size(); ++I) {
    if (Gang.Members[I].node() != Node || isTerminal(Gang.Parts[I].phase()))
      continue;
    Gang.Parts[I].set_phase(wire::LOST);
    Gang.Parts[I].set_may_have_run(true);
  }
  return evaluate(Gang);
}

GangTransition GangTracker::markUnreachableMembersLost(
    TrackedGang &Gang, Instant Now, Milliseconds Delay,
    const std::function<bool(const NodeId &)> &IsUnreachable) {
  if (!Gang.BrokenSince || Now - *Gang.BrokenSince <= Delay)
    return GangTransition::None;
  bool AnyMarked = false;
  for (std::size_t I = 0; I < Gang.Members.size(); ++I) {
    if (isTerminal(Gang.Parts[I].phase()) ||
        !IsUnreachable(NodeId(Gang.Members[I].node())))
      continue;
    Gang.Parts[I].set_phase(wire::LOST);
    Gang.Parts[I].set_may_have_run(true);
    AnyMarked = true;
  }
  return AnyMarked ? evaluate(Gang) : GangTransition::None;
}

GangTransition GangTracker::evaluate(TrackedGang &Gang) {
  const auto HasEnded = [](const wire::GangPart &Part) {
    return isTerminal(Part.phase());
  };
  const auto IsRunningOrSucceeded = [](const wire::GangPart &Part) {
    return Part.phase() == wire::RUNNING || Part.phase() == wire::SUCCEEDED;
  };
  if (std::all_of(Gang.Parts.begin(), Gang.Parts.end(), HasEnded)) {
    setEnd(Gang);
    return GangTransition::Ended;
  }
  if (hasPhase(Gang, wire::FAILED) || hasPhase(Gang, wire::LOST))
    return GangTransition::Broken;
  if (!Gang.Started &&
      std::all_of(Gang.Parts.begin(), Gang.Parts.end(), IsRunningOrSucceeded)) {
    Gang.Started = true;
    return GangTransition::AllRunning;
  }
  return GangTransition::None;
}

void GangTracker::setEnd(TrackedGang &Gang) {
  Gang.Ended = true;
  GangEnd &End = Gang.End;
  End.Progress = Gang.CheckpointedProgress;
  End.MayHaveRun = false;
  End.Checkpointed = true;
  std::uint64_t Longest = 0;
  std::uint64_t Shortest = UINT64_MAX;
  for (const auto &Part : Gang.Parts) {
    End.MayHaveRun = End.MayHaveRun || Part.may_have_run();
    End.Checkpointed = End.Checkpointed && Part.checkpointed();
    Longest = std::max(Longest, Part.progress_ms());
    Shortest = std::min(Shortest, Part.progress_ms());
  }
  if (hasPhase(Gang, wire::FAILED)) {
    End.Result = GangResult::Failed;
    End.FaultyWorker = firstNodeInPhase(Gang, wire::FAILED);
  } else if (hasPhase(Gang, wire::LOST)) {
    End.Result = GangResult::Lost;
    End.FaultyWorker = firstNodeInPhase(Gang, wire::LOST);
  } else if (hasPhase(Gang, wire::STOPPED)) {
    End.Result = GangResult::Stopped;
    if (End.Checkpointed)
      End.Progress = Milliseconds(Shortest);
  } else {
    End.Result = GangResult::Succeeded;
    End.Progress = Milliseconds(Longest);
  }
}

std::vector<wire::GangPart>
GangTracker::strayParts(const wire::Heartbeat &Report) const {
  std::vector<wire::GangPart> Result;
  for (const auto &Part : Report.worker().parts())
    if (Gangs.count({JobId(Part.job()), Part.attempt()}) == 0)
      Result.push_back(Part);
  return Result;
}

} // namespace baobabcove
