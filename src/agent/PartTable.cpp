#include "agent/PartTable.h"

#include <algorithm>

#include <Poco/String.h>

namespace baobabcove {

namespace {

/// Ended parts that are kept for a coordinator which has not yet heard of
/// them; the oldest is dropped beyond.
constexpr std::size_t MaxEnded = 512;
/// A report taken before the worker got the order does not know the tasks.
constexpr Milliseconds StartGrace{1500};

/// The event by which a part follows its tasks at the worker; empty while they
/// run.
std::string eventOf(const std::string &TaskState) {
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

/// The chart's name of a phase.
std::string stateName(wire::GangPhase Phase) {
  return Poco::toLower(wire::GangPhase_Name(Phase));
}

} // namespace

std::string PartRecord::taskName() const {
  return Job.str() + "." + std::to_string(Number.value());
}

bool PartRecord::ended() const {
  return Phase != wire::RESERVED && Phase != wire::ARMED &&
         Phase != wire::RUNNING;
}

wire::GangPart PartRecord::toWire() const {
  wire::GangPart Part;
  Part.set_job(Job.str());
  Part.set_attempt(Number.value());
  Part.set_phase(Phase);
  Part.set_progress_ms(static_cast<std::uint64_t>(Progress.count()));
  Part.set_may_have_run(MayHaveRun);
  Part.set_accelerators(Need.tasks() * Need.accelerators_per_task());
  Part.set_epoch(By.value());
  Part.set_checkpointed(Checkpointed);
  Part.set_memory_mb_per_task(MemoryMbPerTask);
  return Part;
}

Expected<void> PartTable::admit(Epoch By) {
  if (By < Highest)
    return failure(ResultCode::StaleEpoch,
                   "Epoch " + std::to_string(By.value()) + " is older than " +
                       std::to_string(Highest.value()) + ".");
  Highest = By;
  return {};
}

void PartTable::raiseEpoch(Epoch Heard) {
  if (Highest < Heard)
    Highest = Heard;
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
      Add(Part.Need);
  Add(Request);
  return Accelerators <= Size.Accelerators && Cores <= Size.Cores &&
         MemoryMb <= Size.MemoryMb;
}

Expected<void> PartTable::reserve(const wire::ReserveRequest &Request,
                                  Instant Now) {
  if (auto Admitted = admit(Epoch(Request.epoch())); !Admitted)
    return Admitted;
  const JobId Job(Request.job());
  if (PartRecord *Known = find(Job, Attempt(Request.attempt()))) {
    if (Known->Phase == wire::RESERVED)
      return {};
    return failure(ResultCode::NoCapacity, "The attempt was used before.");
  }
  for (const auto &[Name, Part] : Parts)
    if (Part.Job == Job && !Part.ended())
      return failure(ResultCode::NoCapacity,
                     "An earlier attempt of the job has not ended.");
  if (!fits(Request))
    return failure(ResultCode::NoCapacity, "The worker has too little free.");
  PartRecord Fresh;
  Fresh.Job = Job;
  Fresh.Number = Attempt(Request.attempt());
  Fresh.By = Epoch(Request.epoch());
  Fresh.Need = Request;
  Fresh.Until = Now + Milliseconds(Request.ttl_ms());
  Parts[{Job, Request.attempt()}] = Fresh;
  return {};
}

Expected<void> PartTable::arm(const wire::StartRequest &Request,
                              const NodeId &Self, Instant Now) {
  if (auto Admitted = admit(Epoch(Request.epoch())); !Admitted)
    return Admitted;
  PartRecord *Part = find(JobId(Request.job()), Attempt(Request.attempt()));
  if (!Part || Part->ended())
    return failure(ResultCode::UnknownGang, "Nothing is reserved for it.");
  if (Part->Phase != wire::RESERVED)
    return {};
  if (Now > Part->Until)
    return failure(ResultCode::UnknownGang, "The reservation has lapsed.");
  if (auto Moved = move(*Part, "arm", Now); !Moved)
    return Moved;
  Part->Start = Request;
  Part->Until = Now + Lease;
  Part->Progress = Milliseconds(Request.resume_ms());
  Part->Leads =
      Request.members_size() > 0 && Request.members(0).node() == Self.str();
  return {};
}

Expected<PartRecord *> PartTable::renew(const JobId &Job, Attempt Number,
                                        Instant Now, Instant Horizon) {
  PartRecord *Part = find(Job, Number);
  if (!Part || Part->Phase == wire::RESERVED)
    return failure(ResultCode::UnknownGang, "The part is not armed.");
  if (Part->ended())
    return Part;
  if (Now > Part->Until || Now > Horizon)
    return failure(ResultCode::UnknownGang, "The lease has lapsed.");
  Part->Until = std::min(Now + Lease, Horizon);
  return Part;
}

PartRecord *PartTable::find(const JobId &Job, Attempt Number) {
  const auto Found = Parts.find({Job, Number.value()});
  return Found == Parts.end() ? nullptr : &Found->second;
}

Expected<void> PartTable::move(PartRecord &Part, const std::string &Event,
                               Instant Now) {
  const auto Next = Chart.next(stateName(Part.Phase), Event);
  wire::GangPhase Phase{};
  if (!Next || !wire::GangPhase_Parse(Poco::toUpper(*Next), &Phase)) {
    ++RefusedEvents;
    return failure(ResultCode::EventNotAllowed,
                   "A part that is " + stateName(Part.Phase) +
                       " does not take the event " + Event + ".");
  }
  Part.Phase = Phase;
  Part.ChangedAt = Now;
  if (Part.ended())
    dropOldest();
  return {};
}

void PartTable::dropOldest() {
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
  if (Ended > MaxEnded)
    Parts.erase(Oldest);
}

void PartTable::forget(const JobId &Job, Attempt Number) {
  const auto Found = Parts.find({Job, Number.value()});
  if (Found != Parts.end() && Found->second.ended())
    Parts.erase(Found);
}

std::vector<std::string> PartTable::lapse(Instant Now) {
  std::vector<std::string> Tasks;
  for (auto It = Parts.begin(); It != Parts.end();) {
    PartRecord &Part = It->second;
    if (Part.ended() || Now <= Part.Until) {
      ++It;
      continue;
    }
    if (Part.Phase == wire::RUNNING) {
      Tasks.push_back(Part.taskName());
      (void)move((It++)->second, "lose", Now);
      continue;
    }
    It = Parts.erase(It);
  }
  return Tasks;
}

bool PartTable::observe(const platform::WorkerReport &Report, Instant Now) {
  std::map<std::string, const platform::TaskStatus *> ByName;
  for (const auto &Status : Report.tasks())
    ByName[Status.id()] = &Status;
  std::vector<std::pair<PartRecord *, std::string>> Moves;
  for (auto &[Name, Part] : Parts) {
    if (Part.Phase != wire::RUNNING)
      continue;
    const auto Found = ByName.find(Part.taskName());
    std::string Event = "lose";
    if (Found != ByName.end()) {
      Event = eventOf(Found->second->state());
      Part.Progress = Milliseconds(Found->second->progress_ms());
      Part.MemoryMbPerTask = Found->second->memory_mb_per_task();
    } else if (Now < Part.ChangedAt + StartGrace) {
      continue;
    }
    if (Event.empty() || (Event == "stop" && Part.StopUnderWay))
      continue;
    Moves.emplace_back(&Part, Event);
  }
  for (auto &[Part, Event] : Moves)
    (void)move(*Part, Event, Now);
  return !Moves.empty();
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
