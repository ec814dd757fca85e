#include "scheduler/SchedulerCore.h"

#include <algorithm>

namespace baobabcove {

namespace {

/// A job that failed on this many different workers is considered faulty.
constexpr std::size_t MaxDistinctFailedWorkers = 3;
/// A job is ended after this many failures, on whichever workers.
constexpr std::uint32_t MaxFailures = 6;
/// Delay before a gang that could not be started is tried again.
constexpr Milliseconds RefusalBackoff{500};
/// Delay after the first failure is twice this value; it doubles with each
/// further failure.
constexpr Milliseconds FirstBackoff{5000};
constexpr std::uint32_t MaxBackoffDoublings = 6;

struct PolicyDefinition {
  const char *Name;
  std::unique_ptr<PlacementPolicy> (*Make)();
  PolicyTraits Traits;
};

const PolicyDefinition &policyDefinition(const std::string &Name) {
  static const PolicyDefinition Definitions[] = {
      {"packing", &makePackingFit, {true, true, true, true}},
      {"best-fit", &makeBestFit, {false, false, false, false}},
      {"first-fit", &makeFirstFit, {false, false, false, false}},
  };
  for (const PolicyDefinition &Definition : Definitions)
    if (Name == Definition.Name)
      return Definition;
  return Definitions[0];
}

Milliseconds backoffAfter(std::uint32_t Failures) {
  return FirstBackoff * (1U << std::min(Failures, MaxBackoffDoublings));
}

} // namespace

Scheduler::Core::Core(const SchedulerOptions &Options)
    : Options(Options), Placement(policyDefinition(Options.Policy).Make()),
      Traits(policyDefinition(Options.Policy).Traits) {}

const Job *Scheduler::Core::find(const JobId &Id) const {
  const auto Found = Jobs.find(Id);
  return Found == Jobs.end() ? nullptr : Found->second.get();
}

Job *Scheduler::Core::findAttempt(const JobId &Id, Attempt Number) {
  const auto Found = Jobs.find(Id);
  if (Found == Jobs.end() || Found->second->Number != Number)
    return nullptr;
  return Found->second.get();
}

void Scheduler::Core::workerSeen(const WorkerInfo &Info) {
  WorkerIndex Index = 0;
  const bool Known = Workers.find(Info.Id, Index);
  const bool WasUsable = Known && Workers.worker(Index).usable();
  Index = Workers.addOrUpdate(Info);
  if (GangsOnWorker.size() <= Index)
    GangsOnWorker.resize(Index + 1);
  if (WasUsable != Workers.worker(Index).usable())
    workersChanged();
}

void Scheduler::Core::workerLost(const NodeId &Id, Instant) {
  WorkerIndex Index = 0;
  if (!Workers.find(Id, Index) || !Workers.worker(Index).Present)
    return;
  Workers.markLost(Index);
  Workers.setQuarantined(Index, false);
  Health.forget(Index);
  const std::vector<Job *> GangsHere = GangsOnWorker[Index];
  for (Job *Each : GangsHere)
    if (Each->Phase == JobPhase::Reserved)
      cancelReservation(*Each);
  workersChanged();
}

void Scheduler::Core::jobQueued(const JobInfo &Info, Instant Now) {
  if (Jobs.count(Info.Id) != 0)
    return;
  auto NewJob = std::make_unique<Job>();
  NewJob->Info = Info;
  NewJob->Need = demandOf(Info);
  NewJob->NotBefore = Now;
  NewJob->Impossible = !canEverRun(Info);
  NewJob->ImpossibleSince = Now;
  Queue.push_back(NewJob.get());
  Jobs[Info.Id] = std::move(NewJob);
  LastRanked = Instant();
}

void Scheduler::Core::jobRunning(const JobInfo &Info, Attempt Number,
                                 const std::vector<struct Placement> &Members,
                                 bool Borrowed, Instant Started) {
  auto NewJob = std::make_unique<Job>();
  NewJob->Info = Info;
  NewJob->Need = demandOf(Info);
  NewJob->Number = Number;
  NewJob->Phase = JobPhase::Running;
  NewJob->Borrowed = Borrowed;
  NewJob->Started = Started;
  for (const auto &Each : Members) {
    WorkerIndex Index = 0;
    if (Workers.find(Each.Worker, Index))
      NewJob->Members.push_back({Index, Each.Tasks});
  }
  Workers.allocate(NewJob->Members, NewJob->Need);
  GuaranteedPlacement Chosen;
  if (!Borrowed &&
      Guaranteed.adopt(Info.Workspace, NewJob->Need, NewJob->Members, Chosen)) {
    Guaranteed.bind(Chosen, NewJob->Need);
    NewJob->Uses = std::move(Chosen.Uses);
  } else {
    // A gang outside the guaranteed cells must remain reclaimable.
    NewJob->Borrowed = true;
  }
  Job &Adopted = *NewJob;
  Jobs[Info.Id] = std::move(NewJob);
  addToWorkers(Adopted);
}

void Scheduler::Core::attemptUsed(const JobId &Id, Attempt Last,
                                  Milliseconds CheckpointedRun) {
  const auto Found = Jobs.find(Id);
  if (Found == Jobs.end())
    return;
  if (Found->second->Number < Last)
    Found->second->Number = Last;
  Found->second->CheckpointedRun =
      std::max(Found->second->CheckpointedRun, CheckpointedRun);
}

void Scheduler::Core::addToWorkers(Job &Gang) {
  for (const Member &Each : Gang.Members)
    GangsOnWorker[Each.Worker].push_back(&Gang);
}

/// A cell on a worker that takes no new gangs cannot be claimed there. Unbinds
/// such cells so that they can be bound elsewhere; the gangs that used them
/// continue as borrowers.
void Scheduler::Core::workersChanged() {
  for (auto &[Id, Gang] : Jobs) {
    if (Gang->Uses.empty() || !Guaranteed.hasUnusableWorker(Gang->Uses))
      continue;
    Guaranteed.release(Gang->Uses, Gang->Need);
    Gang->Uses.clear();
    Gang->Borrowed = true;
  }
  Guaranteed.workersChanged();
}

void Scheduler::Core::release(Job &Gang) {
  if (Gang.Phase == JobPhase::Stopping)
    Workers.setBeingFreed(Gang.Members, Gang.Need, false);
  Workers.deallocate(Gang.Members, Gang.Need);
  for (const Member &Each : Gang.Members)
    removeFrom(GangsOnWorker[Each.Worker], &Gang);
  if (!Gang.Uses.empty())
    Guaranteed.release(Gang.Uses, Gang.Need);
  Gang.Uses.clear();
  Gang.Members.clear();
  Gang.Borrowed = false;
}

void Scheduler::Core::requeue(Job &J, Instant NotBefore) {
  J.Phase = JobPhase::Queued;
  J.NotBefore = NotBefore;
  J.Protected = false;
  Queue.push_back(&J);
  LastRanked = Instant();
}

void Scheduler::Core::cancelReservation(Job &Gang) {
  removeFrom(Reservations, &Gang);
  release(Gang);
  requeue(Gang, Gang.NotBefore);
}

void Scheduler::Core::erase(const JobId &Id) {
  const auto Found = Jobs.find(Id);
  removeFrom(Queue, Found->second.get());
  Jobs.erase(Found);
}

void Scheduler::Core::endJob(Job &J, ResultCode Code,
                             const std::string &Detail) {
  const JobId Id = J.Info.Id;
  Commands.emplace_back(EndJob{Id, Code, Detail});
  erase(Id);
}

void Scheduler::Core::jobCancelled(const JobId &Id) {
  const auto Found = Jobs.find(Id);
  if (Found == Jobs.end())
    return;
  Job &J = *Found->second;
  J.CancelRequested = true;
  switch (J.Phase) {
  case JobPhase::Reserved:
    cancelReservation(J);
    [[fallthrough]];
  case JobPhase::Queued:
    endJob(J, ResultCode::JobCancelled,
           "The job was cancelled before it started.");
    break;
  case JobPhase::Starting:
  case JobPhase::Running:
    stopGang(J, StopReason::Cancelled, false, Milliseconds(0));
    break;
  case JobPhase::Stopping:
    break;
  }
}

void Scheduler::Core::gangStarted(const JobId &Id, Attempt Number,
                                  Instant Now) {
  Job *Gang = findAttempt(Id, Number);
  if (!Gang || Gang->Phase != JobPhase::Starting)
    return;
  Gang->Phase = JobPhase::Running;
  Gang->Started = Now;
}

void Scheduler::Core::gangRefused(const JobId &Id, Attempt Number,
                                  const NodeId &, Instant Now) {
  Job *Gang = findAttempt(Id, Number);
  if (!Gang || Gang->Members.empty())
    return;
  release(*Gang);
  if (Gang->CancelRequested) {
    endJob(*Gang, ResultCode::JobCancelled,
           "The job was cancelled before it started.");
    return;
  }
  requeue(*Gang, Now + RefusalBackoff);
}

void Scheduler::Core::gangEnded(const JobId &Id, Attempt Number,
                                const GangEnd &End, Instant Now) {
  Job *Gang = findAttempt(Id, Number);
  // The members of an adopted gang are empty while its workers are unknown.
  if (!Gang || Gang->Phase == JobPhase::Queued)
    return;
  if (End.Result == GangResult::Succeeded) {
    RunTimes.addSample(Gang->Info, End.Progress);
    endQuarantine(Gang->Members);
    release(*Gang);
    erase(Id);
    return;
  }
  const bool WasStarted = Gang->Phase != JobPhase::Starting;
  if (End.Result == GangResult::Failed && WasStarted)
    countWorkerFailure(*Gang, End.FaultyWorker, Now);
  release(*Gang);
  Gang->CheckpointedRun = std::max(Gang->CheckpointedRun, End.Progress);
  if (Gang->CancelRequested)
    endJob(*Gang, ResultCode::JobCancelled,
           "The job was cancelled while it was running.");
  else if (End.Result == GangResult::Failed)
    gangFailed(*Gang, End, Now);
  else
    gangStopped(*Gang, End, Now);
}

/// Ends the quarantine of workers on which a gang has succeeded.
void Scheduler::Core::endQuarantine(const std::vector<Member> &Members) {
  bool Changed = false;
  for (const Member &Each : Members) {
    if (!Health.recordSuccess(Each.Worker))
      continue;
    Workers.setQuarantined(Each.Worker, false);
    Changed = true;
  }
  if (Changed)
    workersChanged();
}

void Scheduler::Core::countWorkerFailure(const Job &Gang, const NodeId &Blamed,
                                         Instant Now) {
  WorkerIndex Index = 0;
  if (!Traits.Quarantines || !Workers.find(Blamed, Index))
    return;
  if (!Health.recordFailure(Index, Gang.Info.Id, Now))
    return;
  Workers.setQuarantined(Index, true);
  workersChanged();
}

void Scheduler::Core::gangFailed(Job &Gang, const GangEnd &End, Instant Now) {
  ++Gang.Failures;
  if (!End.FaultyWorker.empty())
    Gang.FailedOn.insert(End.FaultyWorker);
  if (const auto Reason = notRepeatable(Gang.Info.Idempotent, End)) {
    endJob(Gang, Reason->Code, Reason->Detail);
    return;
  }
  if (Gang.FailedOn.size() >= MaxDistinctFailedWorkers ||
      Gang.Failures >= MaxFailures) {
    for (WorkerIndex Index : Health.clearFailuresOf(Gang.Info.Id))
      Workers.setQuarantined(Index, false);
    workersChanged();
    endJob(Gang, ResultCode::JobFailed,
           "The job failed on " + std::to_string(Gang.FailedOn.size()) +
               " different workers.");
    return;
  }
  requeue(Gang, Now + backoffAfter(Gang.Failures));
}

void Scheduler::Core::gangStopped(Job &Gang, const GangEnd &End, Instant Now) {
  if (const auto Reason = notRepeatable(Gang.Info.Idempotent, End)) {
    endJob(Gang, Reason->Code, Reason->Detail);
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
  // A job that uses more memory than declared is accounted with its usage.
  Workers.deallocate(Gang.Members, Gang.Need);
  Gang.Need.MemoryMb = MemoryMbPerTask;
  Workers.allocate(Gang.Members, Gang.Need);
}

bool Scheduler::Core::canEverRun(const JobInfo &Info) const {
  const Demand Need = demandOf(Info);
  for (const Group &InGroup : Workers.knownGroups(Info.Near)) {
    std::uint64_t Tasks = 0;
    for (WorkerIndex I : InGroup)
      Tasks += Cluster::tasksWhenEmpty(Workers.worker(I), Need);
    if (Tasks >= Need.Tasks)
      return true;
  }
  return false;
}

bool Scheduler::Core::fitsNow(const JobInfo &Info) const {
  const Demand Need = demandOf(Info);
  std::vector<Member> Chosen;
  const auto Slots = [&](WorkerIndex I) {
    const Worker &W = Workers.worker(I);
    return W.usable() ? W.Free.tasksThatFit(Need) : 0;
  };
  return Placement->choose(Workers, Need, Slots, Chosen);
}

SchedulerStats Scheduler::Core::figures() const {
  SchedulerStats Result;
  Result.Queued = Queue.size() + Reservations.size();
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
