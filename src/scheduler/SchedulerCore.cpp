#include "scheduler/SchedulerCore.h"

#include <algorithm>

namespace baobabcove {

namespace {

/// A job that failed on this many different workers is at fault itself.
constexpr std::size_t WorkersToBlameJob = 3;
constexpr std::uint32_t MaxFailures = 6;
constexpr Milliseconds RefusalBackoff{500};
constexpr Milliseconds FirstBackoff{5000};
constexpr std::uint32_t MaxBackoffDoublings = 6;

struct PolicyRow {
  const char *Name;
  std::unique_ptr<PlacementPolicy> (*Make)();
  PolicyTraits Traits;
};

const PolicyRow &policyRow(const std::string &Name) {
  static const PolicyRow Rows[] = {
      {"packing", &makePackingFit, {true, true, true, true}},
      {"best-fit", &makeBestFit, {false, false, false, false}},
      {"first-fit", &makeFirstFit, {false, false, false, false}},
  };
  for (const PolicyRow &Row : Rows)
    if (Name == Row.Name)
      return Row;
  return Rows[0];
}

Milliseconds backoffAfter(std::uint32_t Failures) {
  return FirstBackoff * (1U << std::min(Failures, MaxBackoffDoublings));
}

} // namespace

Scheduler::Core::Core(const SchedulerOptions &Options)
    : Options(Options), Placement(policyRow(Options.Policy).Make()),
      Traits(policyRow(Options.Policy).Traits) {}

const Job *Scheduler::Core::find(const JobId &Id) const {
  const auto Found = Jobs.find(Id);
  return Found == Jobs.end() ? nullptr : Found->second.get();
}

Job *Scheduler::Core::lookUp(const JobId &Id, Attempt Number) {
  const auto Found = Jobs.find(Id);
  if (Found == Jobs.end() || Found->second->Number != Number)
    return nullptr;
  return Found->second.get();
}

void Scheduler::Core::workerSeen(const WorkerInfo &Info) {
  WorkerIndex Index = 0;
  const bool Known = Workers.find(Info.Id, Index);
  const bool WasUsable = Known && Workers.worker(Index).usable();
  Index = Workers.see(Info);
  if (OnWorker.size() <= Index)
    OnWorker.resize(Index + 1);
  if (WasUsable != Workers.worker(Index).usable())
    workersChanged();
}

void Scheduler::Core::workerLost(const NodeId &Id, Instant) {
  WorkerIndex Index = 0;
  if (!Workers.find(Id, Index) || !Workers.worker(Index).Present)
    return;
  Workers.lose(Index);
  Workers.setQuarantined(Index, false);
  Health.forget(Index);
  const std::vector<Job *> Residents = OnWorker[Index];
  for (Job *Each : Residents)
    if (Each->Phase == JobPhase::Planned)
      unplan(*Each);
  workersChanged();
}

void Scheduler::Core::jobQueued(const JobInfo &Info, Instant Now) {
  if (Jobs.count(Info.Id) != 0)
    return;
  auto Fresh = std::make_unique<Job>();
  Fresh->Info = Info;
  Fresh->Need = demandOf(Info);
  Fresh->NotBefore = Now;
  Fresh->Impossible = !canEverRun(Info);
  Fresh->ImpossibleSince = Now;
  Waiting.push_back(Fresh.get());
  Jobs[Info.Id] = std::move(Fresh);
  LastRanked = Instant();
}

void Scheduler::Core::jobRunning(const JobInfo &Info, Attempt Number,
                                 const std::vector<struct Placement> &Members,
                                 bool Borrowed, Instant Started) {
  auto Found = std::make_unique<Job>();
  Found->Info = Info;
  Found->Need = demandOf(Info);
  Found->Number = Number;
  Found->Phase = JobPhase::Running;
  Found->Borrowed = Borrowed;
  Found->Started = Started;
  for (const auto &Each : Members) {
    WorkerIndex Index = 0;
    if (Workers.find(Each.Worker, Index))
      Found->Members.push_back({Index, Each.Tasks});
  }
  Workers.take(Found->Members, Found->Need);
  GuaranteedPlacement Chosen;
  if (!Borrowed &&
      Guaranteed.adopt(Info.Workspace, Found->Need, Found->Members, Chosen)) {
    Guaranteed.bind(Chosen, Found->Need);
    Found->Uses = std::move(Chosen.Uses);
  } else {
    // What no cell covers must stay reclaimable.
    Found->Borrowed = true;
  }
  Job &Kept = *Found;
  Jobs[Info.Id] = std::move(Found);
  reside(Kept);
}

void Scheduler::Core::attemptUsed(const JobId &Id, Attempt Last,
                                  Milliseconds Kept) {
  const auto Found = Jobs.find(Id);
  if (Found == Jobs.end())
    return;
  if (Found->second->Number < Last)
    Found->second->Number = Last;
  Found->second->Kept = std::max(Found->second->Kept, Kept);
}

void Scheduler::Core::reside(Job &Gang) {
  for (const Member &Each : Gang.Members)
    OnWorker[Each.Worker].push_back(&Gang);
}

/// A cell on a worker that takes nothing more cannot be claimed there, so it
/// is bound anew elsewhere; the gangs that used it run on as borrowers.
void Scheduler::Core::workersChanged() {
  for (auto &[Id, Gang] : Jobs) {
    if (Gang->Uses.empty() || !Guaranteed.broken(Gang->Uses))
      continue;
    Guaranteed.release(Gang->Uses, Gang->Need);
    Gang->Uses.clear();
    Gang->Borrowed = true;
  }
  Guaranteed.workersChanged();
}

void Scheduler::Core::release(Job &Gang) {
  if (Gang.Phase == JobPhase::Stopping)
    Workers.setLeaving(Gang.Members, Gang.Need, false);
  Workers.give(Gang.Members, Gang.Need);
  for (const Member &Each : Gang.Members)
    removeFrom(OnWorker[Each.Worker], &Gang);
  if (!Gang.Uses.empty())
    Guaranteed.release(Gang.Uses, Gang.Need);
  Gang.Uses.clear();
  Gang.Members.clear();
  Gang.Borrowed = false;
}

void Scheduler::Core::requeue(Job &Again, Instant NotBefore) {
  Again.Phase = JobPhase::Queued;
  Again.NotBefore = NotBefore;
  Again.Protected = false;
  Waiting.push_back(&Again);
  LastRanked = Instant();
}

void Scheduler::Core::unplan(Job &Gang) {
  removeFrom(Planned, &Gang);
  release(Gang);
  requeue(Gang, Gang.NotBefore);
}

void Scheduler::Core::erase(const JobId &Id) {
  const auto Found = Jobs.find(Id);
  removeFrom(Waiting, Found->second.get());
  Jobs.erase(Found);
}

void Scheduler::Core::endJob(Job &Ended, ResultCode Code,
                             const std::string &Detail) {
  const JobId Id = Ended.Info.Id;
  Commands.emplace_back(EndJob{Id, Code, Detail});
  erase(Id);
}

void Scheduler::Core::jobCancelled(const JobId &Id) {
  const auto Found = Jobs.find(Id);
  if (Found == Jobs.end())
    return;
  Job &Which = *Found->second;
  Which.CancelRequested = true;
  switch (Which.Phase) {
  case JobPhase::Planned:
    unplan(Which);
    [[fallthrough]];
  case JobPhase::Queued:
    endJob(Which, ResultCode::JobCancelled, "Cancelled before it ran.");
    break;
  case JobPhase::Starting:
  case JobPhase::Running:
    stopGang(Which, StopReason::Cancelled, false, Milliseconds(0));
    break;
  case JobPhase::Stopping:
    break;
  }
}

void Scheduler::Core::gangStarted(const JobId &Id, Attempt Number,
                                  Instant Now) {
  Job *Gang = lookUp(Id, Number);
  if (!Gang || Gang->Phase != JobPhase::Starting)
    return;
  Gang->Phase = JobPhase::Running;
  Gang->Started = Now;
}

void Scheduler::Core::gangRefused(const JobId &Id, Attempt Number,
                                  const NodeId &, Instant Now) {
  Job *Gang = lookUp(Id, Number);
  if (!Gang || Gang->Members.empty())
    return;
  release(*Gang);
  if (Gang->CancelRequested) {
    endJob(*Gang, ResultCode::JobCancelled, "Cancelled before it ran.");
    return;
  }
  requeue(*Gang, Now + RefusalBackoff);
}

void Scheduler::Core::gangEnded(const JobId &Id, Attempt Number,
                                const GangEnd &End, Instant Now) {
  Job *Gang = lookUp(Id, Number);
  if (!Gang || Gang->Members.empty())
    return;
  if (End.Result == GangResult::Succeeded) {
    Learned.learn(Gang->Info, End.Progress);
    endQuarantine(Gang->Members);
    release(*Gang);
    erase(Id);
    return;
  }
  const bool WasStarted = Gang->Phase != JobPhase::Starting;
  if (End.Result == GangResult::Failed && WasStarted)
    blame(*Gang, End.Blamed, Now);
  release(*Gang);
  Gang->Kept = std::max(Gang->Kept, End.Progress);
  if (Gang->CancelRequested)
    endJob(*Gang, ResultCode::JobCancelled, "Cancelled while it ran.");
  else if (End.Result == GangResult::Failed)
    gangFailed(*Gang, End, Now);
  else
    gangStopped(*Gang, End, Now);
}

/// What succeeds on a worker shows that it is well.
void Scheduler::Core::endQuarantine(const std::vector<Member> &Members) {
  bool Changed = false;
  for (const Member &Each : Members) {
    if (!Health.succeeded(Each.Worker))
      continue;
    Workers.setQuarantined(Each.Worker, false);
    Changed = true;
  }
  if (Changed)
    workersChanged();
}

void Scheduler::Core::blame(const Job &Gang, const NodeId &Blamed,
                            Instant Now) {
  WorkerIndex Index = 0;
  if (!Traits.Quarantines || !Workers.find(Blamed, Index))
    return;
  if (!Health.failed(Index, Gang.Info.Id, Now))
    return;
  Workers.setQuarantined(Index, true);
  workersChanged();
}

void Scheduler::Core::gangFailed(Job &Gang, const GangEnd &End, Instant Now) {
  ++Gang.Failures;
  if (!End.Blamed.empty())
    Gang.FailedOn.insert(End.Blamed);
  if (!Gang.Info.Idempotent && End.MayHaveRun) {
    endJob(Gang, ResultCode::JobFailed,
           "A task failed on " + End.Blamed.str() +
               "; a job that is not idempotent is not tried again.");
    return;
  }
  if (Gang.FailedOn.size() >= WorkersToBlameJob ||
      Gang.Failures >= MaxFailures) {
    for (WorkerIndex Index : Health.jobWasAtFault(Gang.Info.Id))
      Workers.setQuarantined(Index, false);
    workersChanged();
    endJob(Gang, ResultCode::JobFailed,
           "It failed on " + std::to_string(Gang.FailedOn.size()) +
               " different workers.");
    return;
  }
  requeue(Gang, Now + backoffAfter(Gang.Failures));
}

void Scheduler::Core::gangStopped(Job &Gang, const GangEnd &End, Instant Now) {
  if (!Gang.Info.Idempotent && End.MayHaveRun && !End.Checkpointed) {
    endJob(Gang, ResultCode::JobOutcomeUnknown,
           "It was stopped without a checkpoint after it had started.");
    return;
  }
  requeue(Gang, Now);
}

void Scheduler::Core::usageReported(const JobId &Id,
                                    std::uint64_t MemoryMbPerTask) {
  const auto Found = Jobs.find(Id);
  if (Found == Jobs.end())
    return;
  Job &Gang = *Found->second;
  if (Gang.Members.empty() || MemoryMbPerTask <= Gang.Need.MemoryMb)
    return;
  // A job that uses more than it declared is reckoned by what it uses.
  Workers.give(Gang.Members, Gang.Need);
  Gang.Need.MemoryMb = MemoryMbPerTask;
  Workers.take(Gang.Members, Gang.Need);
}

bool Scheduler::Core::canEverRun(const JobInfo &Info) const {
  const Demand Need = demandOf(Info);
  for (const Group &Together : Workers.knownGroups(Info.Near)) {
    std::uint64_t Tasks = 0;
    for (WorkerIndex I : Together)
      Tasks += Cluster::tasksWhenEmpty(Workers.worker(I), Need);
    if (Tasks >= Need.Tasks)
      return true;
  }
  return false;
}

bool Scheduler::Core::fitsNow(const JobInfo &Info) const {
  const Demand Need = demandOf(Info);
  std::vector<Member> Chosen;
  const auto Room = [&](WorkerIndex I) {
    const Worker &Which = Workers.worker(I);
    return Which.usable() ? Which.Free.tasks(Need) : 0;
  };
  return Placement->choose(Workers, Need, Room, Chosen);
}

SchedulerFigures Scheduler::Core::figures() const {
  SchedulerFigures Result;
  Result.Queued = Waiting.size() + Planned.size();
  Result.Running = Jobs.size() - Result.Queued;
  Result.FreeAccelerators = Workers.freeAccelerators();
  Result.TotalAccelerators = Workers.totalAccelerators();
  Result.Quarantined = Health.quarantined();
  Result.UnpackableCells = Guaranteed.unpackable();
  Result.Reclaims = Reclaims;
  Result.Compactions = Compactions;
  return Result;
}

} // namespace baobabcove
