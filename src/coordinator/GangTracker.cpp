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

/// An end that the lead answers by stopping the whole gang at once, even while
/// members are told to write checkpoints.
bool breaksGang(const wire::GangPart &Part) {
  return isTerminal(Part.phase()) && Part.phase() != wire::SUCCEEDED &&
         !(Part.phase() == wire::STOPPED && Part.checkpointed());
}

NodeId firstWith(const TrackedGang &Gang, wire::GangPhase Phase) {
  for (std::size_t I = 0; I < Gang.Parts.size(); ++I)
    if (Gang.Parts[I].phase() == Phase)
      return NodeId(Gang.Members[I].node());
  return NodeId();
}

} // namespace

void GangTracker::add(TrackedGang Gang) {
  Gang.Parts.resize(Gang.Members.size());
  Key Name{Gang.Job, Gang.Number.value()};
  Gangs[Name] = std::move(Gang);
}

TrackedGang *GangTracker::find(const JobId &Job, Attempt Number) {
  const auto Found = Gangs.find({Job, Number.value()});
  return Found == Gangs.end() ? nullptr : &Found->second;
}

void GangTracker::erase(const JobId &Job, Attempt Number) {
  Gangs.erase({Job, Number.value()});
}

std::vector<TrackedGang *> GangTracker::on(const std::string &Node) {
  std::vector<TrackedGang *> Result;
  for (auto &[Name, Gang] : Gangs) {
    if (Gang.Ended)
      continue;
    for (const auto &Member : Gang.Members)
      if (Member.node() == Node)
        Result.push_back(&Gang);
  }
  return Result;
}

GangNews GangTracker::observe(TrackedGang &Gang, const wire::Heartbeat &Report,
                              Instant Now) {
  for (std::size_t I = 0; I < Gang.Members.size(); ++I) {
    if (Gang.Members[I].node() != Report.node() ||
        isTerminal(Gang.Parts[I].phase()))
      continue;
    observePart(Gang, I, Report, Now);
    if (breaksGang(Gang.Parts[I]) && !Gang.BrokenSince)
      Gang.BrokenSince = Now;
  }
  return judge(Gang);
}

void GangTracker::observePart(TrackedGang &Gang, std::size_t Member,
                              const wire::Heartbeat &Report, Instant Now) {
  wire::GangPart &Known = Gang.Parts[Member];
  const auto &Parts = Report.worker().parts();
  const auto Found =
      std::find_if(Parts.begin(), Parts.end(), [&](const auto &Part) {
        return Part.job() == Gang.Job.str() &&
               Part.attempt() == Gang.Number.value();
      });
  if (Found != Parts.end()) {
    Known = *Found;
    return;
  }
  if (Now < Gang.SettledAt)
    return;
  // An agent keeps what has run until told to forget it. So in the same
  // life of the agent a missing part never ran; another life cannot tell.
  const bool SameLife =
      Report.incarnation() == Gang.Members[Member].incarnation();
  Known.set_may_have_run(!SameLife);
  Known.set_phase(wire::LOST);
}

GangNews GangTracker::memberLost(TrackedGang &Gang, const std::string &Node) {
  for (std::size_t I = 0; I < Gang.Members.size(); ++I) {
    if (Gang.Members[I].node() != Node || isTerminal(Gang.Parts[I].phase()))
      continue;
    Gang.Parts[I].set_phase(wire::LOST);
    Gang.Parts[I].set_may_have_run(true);
  }
  return judge(Gang);
}

GangNews GangTracker::releaseSilent(
    TrackedGang &Gang, Instant Now, Milliseconds Patience,
    const std::function<bool(const NodeId &)> &IsSilent) {
  if (!Gang.BrokenSince || Now - *Gang.BrokenSince <= Patience)
    return GangNews::Nothing;
  bool Released = false;
  for (std::size_t I = 0; I < Gang.Members.size(); ++I) {
    if (isTerminal(Gang.Parts[I].phase()) ||
        !IsSilent(NodeId(Gang.Members[I].node())))
      continue;
    Gang.Parts[I].set_phase(wire::LOST);
    Gang.Parts[I].set_may_have_run(true);
    Released = true;
  }
  return Released ? judge(Gang) : GangNews::Nothing;
}

GangNews GangTracker::judge(TrackedGang &Gang) {
  const auto Ended = [](const wire::GangPart &Part) {
    return isTerminal(Part.phase());
  };
  const auto RanOn = [](const wire::GangPart &Part) {
    return Part.phase() == wire::RUNNING || Part.phase() == wire::SUCCEEDED;
  };
  if (std::all_of(Gang.Parts.begin(), Gang.Parts.end(), Ended)) {
    settleEnd(Gang);
    return GangNews::Ended;
  }
  if (hasPhase(Gang, wire::FAILED) || hasPhase(Gang, wire::LOST))
    return GangNews::Broken;
  if (!Gang.Started &&
      std::all_of(Gang.Parts.begin(), Gang.Parts.end(), RanOn)) {
    Gang.Started = true;
    return GangNews::AllRunning;
  }
  return GangNews::Nothing;
}

void GangTracker::settleEnd(TrackedGang &Gang) {
  Gang.Ended = true;
  GangEnd &End = Gang.End;
  End.Progress = Gang.Kept;
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
    End.Blamed = firstWith(Gang, wire::FAILED);
  } else if (hasPhase(Gang, wire::LOST)) {
    End.Result = GangResult::Lost;
    End.Blamed = firstWith(Gang, wire::LOST);
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
GangTracker::strays(const wire::Heartbeat &Report) const {
  std::vector<wire::GangPart> Result;
  for (const auto &Part : Report.worker().parts())
    if (Gangs.count({JobId(Part.job()), Part.attempt()}) == 0)
      Result.push_back(Part);
  return Result;
}

} // namespace baobabcove
