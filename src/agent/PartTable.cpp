#include "agent/PartTable.h"

#include <algorithm>

#include <Poco/String.h>

namespace baobabcove {

namespace {

/// Ended parts kept for a coordinator that has not recorded them yet. Above
/// this number the oldest is dropped.
constexpr std::size_t MaxEndedParts = 512;
/// Time after the start order in which a missing task is not treated as lost:
/// the report may have been taken before the worker received the order.
constexpr Milliseconds TaskStartGrace{1500};

/// Maps the worker's task state to an event of the task chart; empty while the
/// tasks are running.
std::string eventForTaskState(const std::string &TaskState) {
  if (TaskState == "running")
    return {};
  if (TaskState == "succeeded")
    return "succeed";
  if (TaskState == "failed")
    return "fail";
  if (TaskState == "stopped")
    return "stop";
  return "lose";
}

/// Returns the name of a phase in the task chart.
std::string stateName(wire::GangPhase Phase) {
  return Poco::toLower(wire::GangPhase_Name(Phase));
}

} // namespace

std::string PartRecord::taskName() const {
  return Job.str() + "." + std::to_string(AttemptNumber.value());
}

bool PartRecord::ended() const {
  return Phase != wire::RESERVED && Phase != wire::ARMED &&
         Phase != wire::RUNNING;
}

wire::GangPart PartRecord::toWire() const {
  wire::GangPart Part;
  Part.set_job(Job.str());
  Part.set_attempt(AttemptNumber.value());
  Part.set_phase(Phase);
  Part.set_progress_ms(static_cast<std::uint64_t>(Progress.count()));
  Part.set_may_have_run(MayHaveRun);
  Part.set_accelerators(Reservation.tasks() *
                        Reservation.accelerators_per_task());
  Part.set_epoch(CoordinatorEpoch.value());
  Part.set_checkpointed(Checkpointed);
  Part.set_memory_mb_per_task(MemoryMbPerTask);
  return Part;
}

Expected<void> PartTable::checkEpoch(Epoch CoordinatorEpoch) {
  if (CoordinatorEpoch < HighestSeen)
    return failure(ResultCode::StaleEpoch,
                   "Epoch " + std::to_string(CoordinatorEpoch.value()) +
                       " is older than the known epoch " +
                       std::to_string(HighestSeen.value()) + ".");
  HighestSeen = CoordinatorEpoch;
  return {};
}

void PartTable::observeEpoch(Epoch Observed) {
  if (HighestSeen < Observed)
    HighestSeen = Observed;
}

bool PartTable::fits(const wire::ReserveRequest &Request) const {
  std::uint64_t Accelerators = 0;
  std::uint64_t Cores = 0;
  std::uint64_t MemoryMb = 0;
  const auto Add = [&](const wire::ReserveRequest &Each) {
    Accelerators += std::uint64_t(Each.tasks()) * Each.accelerators_per_task();
    Cores += std::uint64_t(Each.tasks()) * Each.cores_per_task();
    MemoryMb += Each.tasks() * Each.memory_mb_per_task();
  };
  for (const auto &[Name, Part] : Parts)
    if (!Part.ended())
      Add(Part.Reservation);
  Add(Request);
  return Accelerators <= Size.Accelerators && Cores <= Size.Cores &&
         MemoryMb <= Size.MemoryMb;
}

Expected<void> PartTable::reserve(const wire::ReserveRequest &Request,
                                  Instant Now) {
  if (auto Admitted = checkEpoch(Epoch(Request.epoch())); !Admitted)
    return Admitted;
  const JobId Job(Request.job());
  if (PartRecord *Existing = find(Job, Attempt(Request.attempt()))) {
    if (Existing->Phase == wire::RESERVED)
      return {};
    return failure(ResultCode::NoCapacity,
                   "The attempt number has been used before.");
  }
  for (const auto &[Name, Part] : Parts)
    if (Part.Job == Job && !Part.ended())
      return failure(ResultCode::NoCapacity,
                     "An earlier attempt of the job has not ended.");
  if (!fits(Request))
    return failure(ResultCode::NoCapacity,
                   "The worker has too few free resources.");
  PartRecord NewPart;
  NewPart.Job = Job;
  NewPart.AttemptNumber = Attempt(Request.attempt());
  NewPart.CoordinatorEpoch = Epoch(Request.epoch());
  NewPart.Reservation = Request;
  NewPart.ExpiresAt = Now + Milliseconds(Request.ttl_ms());
  Parts[{Job, Request.attempt()}] = NewPart;
  return {};
}

Expected<void> PartTable::arm(const wire::StartRequest &Request,
                              const NodeId &Self, Instant Now) {
  if (auto Admitted = checkEpoch(Epoch(Request.epoch())); !Admitted)
    return Admitted;
  PartRecord *Part = find(JobId(Request.job()), Attempt(Request.attempt()));
  if (!Part || Part->ended())
    return failure(ResultCode::UnknownGang, "The attempt has no reservation.");
  if (Part->Phase != wire::RESERVED)
    return {};
  if (Now > Part->ExpiresAt)
    return failure(ResultCode::UnknownGang, "The reservation has expired.");
  if (auto Moved = transition(*Part, "arm", Now); !Moved)
    return Moved;
  Part->Start = Request;
  Part->ExpiresAt = Now + Lease;
  Part->Progress = Milliseconds(Request.resume_ms());
  Part->IsLead =
      Request.members_size() > 0 && Request.members(0).node() == Self.str();
  return {};
}

Expected<PartRecord *> PartTable::renew(const JobId &Job, Attempt AttemptNumber,
                                        Instant Now, Instant LatestExpiry) {
  PartRecord *Part = find(Job, AttemptNumber);
  if (!Part || Part->Phase == wire::RESERVED)
    return failure(ResultCode::UnknownGang, "The part is not armed.");
  if (Part->ended())
    return Part;
  if (Now > Part->ExpiresAt || Now > LatestExpiry)
    return failure(ResultCode::UnknownGang, "The lease has expired.");
  Part->ExpiresAt = std::min(Now + Lease, LatestExpiry);
  return Part;
}

PartRecord *PartTable::find(const JobId &Job, Attempt AttemptNumber) {
  const auto Found = Parts.find({Job, AttemptNumber.value()});
  return Found == Parts.end() ? nullptr : &Found->second;
}

Expected<void> PartTable::transition(PartRecord &Part, const std::string &Event,
                                     Instant Now) {
  const auto Next = Chart.next(stateName(Part.Phase), Event);
  wire::GangPhase Phase{};
  if (!Next || !wire::GangPhase_Parse(Poco::toUpper(*Next), &Phase)) {
    ++RefusedEvents;
    return failure(ResultCode::EventNotAllowed,
                   "A part in state " + stateName(Part.Phase) +
                       " does not allow the event " + Event + ".");
  }
  Part.Phase = Phase;
  Part.ChangedAt = Now;
  if (Part.ended())
    dropOldestEnded();
  return {};
}

void PartTable::dropOldestEnded() {
  std::size_t Ended = 0;
  auto Oldest = Parts.end();
  for (auto It = Parts.begin(); It != Parts.end(); ++It) {
    if (!It->second.ended())
      continue;
    ++Ended;
    if (Oldest == Parts.end() ||
        It->second.ChangedAt < Oldest->second.ChangedAt)
      Oldest = It;
  }
  if (Ended > MaxEndedParts)
    Parts.erase(Oldest);
}

void PartTable::forget(const JobId &Job, Attempt AttemptNumber) {
  const auto Found = Parts.find({Job, AttemptNumber.value()});
  if (Found != Parts.end() && Found->second.ended())
    Parts.erase(Found);
}

std::vector<std::string> PartTable::expireLeases(Instant Now) {
  std::vector<std::string> Tasks;
  for (auto It = Parts.begin(); It != Parts.end();) {
    PartRecord &Part = It->second;
    if (Part.ended() || Now <= Part.ExpiresAt) {
      ++It;
      continue;
    }
    if (Part.Phase == wire::RUNNING) {
      Tasks.push_back(Part.taskName());
      (void)transition((It++)->second, "lose", Now);
      continue;
    }
    It = Parts.erase(It);
  }
  return Tasks;
}

bool PartTable::applyReport(const platform::WorkerReport &Report, Instant Now) {
  std::map<std::string, const platform::TaskStatus *> ByName;
  for (const auto &Status : Report.tasks())
    ByName[Status.id()] = &Status;
  std::vector<std::pair<PartRecord *, std::string>> Transitions;
  for (auto &[Name, Part] : Parts) {
    if (Part.Phase != wire::RUNNING)
      continue;
    const auto Found = ByName.find(Part.taskName());
    std::string Event = "lose";
    if (Found != ByName.end()) {
      Event = eventForTaskState(Found->second->state());
      Part.Progress = Milliseconds(Found->second->progress_ms());
      Part.MemoryMbPerTask = Found->second->memory_mb_per_task();
    } else if (Now < Part.ChangedAt + TaskStartGrace) {
      continue;
    }
    if (Event.empty() || (Event == "stop" && Part.StopInProgress))
      continue;
    Transitions.emplace_back(&Part, Event);
  }
  for (auto &[Part, Event] : Transitions)
    (void)transition(*Part, Event, Now);
  return !Transitions.empty();
}

std::vector<PartRecord *> PartTable::all() {
  std::vector<PartRecord *> Result;
  for (auto &[Name, Part] : Parts)
    Result.push_back(&Part);
  return Result;
}

std::vector<wire::GangPart> PartTable::wireParts() const {
  std::vector<wire::GangPart> Result;
  for (const auto &[Name, Part] : Parts)
    Result.push_back(Part.toWire());
  return Result;
}

} // namespace baobabcove
