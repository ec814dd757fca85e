#include "scheduler/SchedulerCore.h"

#include <algorithm>
#include <cmath>

namespace baobabcove {

namespace {

/// Time between rankings while no job is added to the queue.
constexpr Milliseconds RankPeriod{5000};
/// A job whose shape the known workers cannot hold waits this long for new
/// workers.
constexpr Milliseconds ImpossibleShapeTimeout{60000};
constexpr std::size_t MaxUnplaceableDemands = 64;
/// Jobs for which one pass plans evictions or compaction.
constexpr std::size_t MaxEvictionAttempts = 4;
/// A gang is stopped for a smaller one only when its expected remaining work is
/// this many times larger.
constexpr double OutrankFactor = 2.5;
/// A gang that has run for less than this is not stopped for a smaller one.
constexpr Milliseconds MinRunBeforeEviction{5 * 60 * 1000};
/// Waiting time after which the rank of a job has halved.
constexpr double RankHalfLifeMs = 4.0 * 3600 * 1000;
/// Factors on the cost of stopping a gang that cannot be retried, and of
/// cancelling a reservation.
constexpr double NotIdempotentPenalty = 20;
constexpr double ReservationPenalty = 50;
/// Longest expected remaining run time of a gang that a reservation waits for.
constexpr Milliseconds MaxReservationWait{60 * 60 * 1000};
/// An aged job gets no reservation by eviction while this many exist.
constexpr std::size_t MaxReservations = 2;
/// Waiting time after which compaction is considered for a job.
constexpr Milliseconds MinCompactionWait{10000};

bool demandsAtLeast(const Demand &Larger, const Demand &Than) {
  return Larger.Tasks >= Than.Tasks &&
         Larger.Accelerators >= Than.Accelerators &&
         Larger.Cores >= Than.Cores && Larger.MemoryMb >= Than.MemoryMb &&
         Larger.Near == Than.Near;
}

/// Returns the command of this pass that stops the gang of a job, or null.
StopGang *findStop(std::vector<Command> &Commands, const JobId &Id) {
  for (Command &Each : Commands)
    if (auto *Stop = std::get_if<StopGang>(&Each); Stop && Stop->Job == Id)
      return Stop;
  return nullptr;
}

/// Merges entries of the same worker.
std::vector<Member> mergedByWorker(std::vector<Member> Members) {
  std::sort(
      Members.begin(), Members.end(),
      [](const Member &L, const Member &R) { return L.Worker < R.Worker; });
  std::vector<Member> Result;
  for (const Member &Each : Members) {
    if (!Result.empty() && Result.back().Worker == Each.Worker)
      Result.back().Tasks += Each.Tasks;
    else
      Result.push_back(Each);
  }
  return Result;
}

} // namespace

std::vector<Command> Scheduler::Core::decide(Instant Now) {
  if (Traits.Quarantines)
    releaseQuarantined(Now);
  startReadyReservations();
  if (Traits.Reclaims)
    claimForReservations(Now);
  evictFromDraining(Now);
  endImpossible(Now);
  rankQueue(Now);
  startQueued(Now);
  std::vector<Command> Result;
  Result.swap(Commands);
  return Result;
}

void Scheduler::Core::releaseQuarantined(Instant Now) {
  const std::vector<WorkerIndex> Released = Health.releaseExpired(Now);
  for (WorkerIndex Index : Released)
    Workers.setQuarantined(Index, false);
  if (!Released.empty())
    workersChanged();
}

void Scheduler::Core::startReadyReservations() {
  const std::vector<Job *> Snapshot = Reservations;
  for (Job *Gang : Snapshot) {
    const bool Ready = std::all_of(
        Gang->Members.begin(), Gang->Members.end(), [&](const Member &Each) {
          return Workers.worker(Each.Worker).Free.isNonNegative();
        });
    if (!Ready)
      continue;
    Reservations.erase(
        std::remove(Reservations.begin(), Reservations.end(), Gang),
        Reservations.end());
    emitStart(*Gang);
  }
}

/// Stops the gangs on draining workers with a checkpoint, so that they resume
/// elsewhere. A job that is not idempotent runs to its end, since it would be
/// lost if the checkpoint failed.
void Scheduler::Core::evictFromDraining(Instant Now) {
  for (WorkerIndex Index = 0; Index < GangsOnWorker.size(); ++Index) {
    if (!Workers.worker(Index).Present || !Workers.worker(Index).Info.Draining)
      continue;
    for (Job *Gang : GangsOnWorker[Index]) {
      if (Gang->Phase != JobPhase::Running || !Gang->Info.Idempotent)
        continue;
      stopGang(*Gang, StopReason::Drained, true,
               Options.RelaxedCheckpointDeadline);
      Gang->StopDeadline = Now + Options.RelaxedCheckpointDeadline;
    }
  }
}

/// Converts reservations of borrowers into claims on the workspace's guarantee
/// once that covers them, because a reservation waits for patient checkpoints.
/// Restores the reservation when the claim is not possible.
void Scheduler::Core::claimForReservations(Instant Now) {
  const std::vector<Job *> Snapshot = Reservations;
  for (Job *Gang : Snapshot) {
    if (Gang->Phase != JobPhase::Reserved || !Gang->Borrowed ||
        !Guaranteed.covers(Gang->Info.Workspace, Gang->Need))
      continue;
    std::vector<Member> OldMembers = Gang->Members;
    removeFrom(Reservations, Gang);
    release(*Gang);
    if (!tryGuarantee(*Gang, Now))
      startOrReserve(*Gang, std::move(OldMembers), true, {});
  }
}

void Scheduler::Core::endImpossible(Instant Now) {
  const std::vector<Job *> Snapshot = Queue;
  for (Job *Pending : Snapshot) {
    if (!Pending->Impossible)
      continue;
    Pending->Impossible = !canEverRun(Pending->Info);
    if (Pending->Impossible &&
        Now >= Pending->ImpossibleSince + ImpossibleShapeTimeout)
      endJob(*Pending, ResultCode::ShapeImpossible,
             "The known workers cannot hold the shape of the job.");
  }
}

Milliseconds Scheduler::Core::attained(const Job &J, Instant Now) const {
  if (J.Phase != JobPhase::Running && J.Phase != JobPhase::Stopping)
    return J.CheckpointedRun;
  return J.CheckpointedRun + (Now - J.Started);
}

double Scheduler::Core::remainingWork(const Job &J, Instant Now) const {
  const Milliseconds Attained = attained(J, Now);
  const Milliseconds Expected = RunTimes.predict(J.Info, Attained);
  return static_cast<double>((Expected - Attained).count()) *
         static_cast<double>(J.Need.totalAccelerators());
}

bool Scheduler::Core::aged(const Job &Pending, Instant Now) const {
  return Now - Pending.Info.Submitted >= Options.AgeLimit;
}

double Scheduler::Core::rankOf(const Job &Pending, Instant Now) const {
  // Jobs over the age limit go first, oldest first; then urgent jobs; then
  // those with the least expected work, discounted by the waiting time.
  const double Waited =
      static_cast<double>((Now - Pending.Info.Submitted).count());
  if (aged(Pending, Now))
    return -1e18 - Waited;
  if (Pending.Info.Urgent)
    return -1e17 - Waited;
  const double Work = remainingWork(Pending, Now);
  const double Size = static_cast<double>(Pending.Need.totalAccelerators());
  const double Width = std::pow(Size, 2 * (1 - Options.CompletionWeight));
  return Work / Width / (1 + Waited / RankHalfLifeMs);
}

void Scheduler::Core::rankQueue(Instant Now) {
  if (LastRanked != Instant() && Now - LastRanked < RankPeriod)
    return;
  LastRanked = Now;
  for (Job *Pending : Queue)
    Pending->Rank =
        Traits.Ranks ? rankOf(*Pending, Now)
                     : static_cast<double>(
                           Pending->Info.Submitted.time_since_epoch().count());
  std::sort(Queue.begin(), Queue.end(), [](const Job *L, const Job *R) {
    return L->Rank != R->Rank ? L->Rank < R->Rank : L->Info.Id < R->Info.Id;
  });
}

void Scheduler::Core::startQueued(Instant Now) {
  UnplaceableDemands Unplaceable;
  EvictionAttempts = 0;
  std::vector<Job *> StillQueued;
  std::vector<Job *> Snapshot;
  Snapshot.swap(Queue);
  for (std::size_t I = 0; I < Snapshot.size(); ++I) {
    Job *Pending = Snapshot[I];
    if (Pending->NotBefore > Now || Pending->Impossible ||
        !tryStart(*Pending, Now, Unplaceable))
      StillQueued.push_back(Pending);
  }
  Queue.insert(Queue.begin(), StillQueued.begin(), StillQueued.end());
}

bool Scheduler::Core::tryStart(Job &Pending, Instant Now,
                               UnplaceableDemands &Unplaceable) {
  if (Traits.Reclaims && tryGuarantee(Pending, Now))
    return true;
  if (tryFreeCapacity(Pending, Unplaceable))
    return true;
  if (!Traits.Evicts || EvictionAttempts >= MaxEvictionAttempts)
    return false;
  ++EvictionAttempts;
  return tryEviction(Pending, Now) || tryCompaction(Pending, Now);
}

bool Scheduler::Core::mayUse(const Job &Pending, WorkerIndex Index) const {
  const Worker &W = Workers.worker(Index);
  if (!W.usable())
    return false;
  return Pending.FailedOn.empty() || Pending.FailedOn.count(W.Info.Id) == 0;
}

double Scheduler::Core::reclaimCost(const Job &Victim, Instant) const {
  if (!Victim.Borrowed)
    return -1;
  const double Loss = static_cast<double>(Options.RestartCost.count()) *
                      static_cast<double>(Victim.Need.totalAccelerators());
  // Cancel reservations last, because their gangs have waited long.
  if (Victim.Phase == JobPhase::Reserved)
    return Loss * ReservationPenalty;
  if (Victim.Phase != JobPhase::Running)
    return -1;
  return Victim.Info.Idempotent ? Loss : Loss * NotIdempotentPenalty;
}

double Scheduler::Core::outrankCost(const Job &Victim, const Job &Pending,
                                    Instant Now) const {
  if (aged(Pending, Now) && !Victim.Borrowed &&
      Victim.Phase == JobPhase::Running)
    return waitCost(Victim, Now);
  const double Loss = reclaimCost(Victim, Now);
  if (Loss < 0 || Victim.Phase == JobPhase::Reserved || Victim.Protected ||
      !Victim.Info.Idempotent)
    return -1;
  if (aged(Pending, Now))
    return Loss;
  if (Victim.Info.Urgent || Now - Victim.Started < MinRunBeforeEviction)
    return -1;
  const double PendingWork = remainingWork(Pending, Now);
  const double VictimWork = remainingWork(Victim, Now);
  // Among several victims, prefer the one with the most remaining work, which
  // is delayed the least in proportion.
  return VictimWork >= OutrankFactor * PendingWork
             ? Loss * (1 + PendingWork / VictimWork)
             : -1;
}

/// Cost of waiting for a gang within its guarantee. Such a gang is not stopped
/// for an aged job, but a reservation may wait for it when it is expected to
/// end soon.
double Scheduler::Core::waitCost(const Job &Victim, Instant Now) const {
  const double Work = remainingWork(Victim, Now);
  const double RemainingMs =
      Work / static_cast<double>(Victim.Need.totalAccelerators());
  return RemainingMs <= static_cast<double>(MaxReservationWait.count()) ? Work
                                                                        : -1;
}

bool Scheduler::Core::tryGuarantee(Job &Pending, Instant Now) {
  if (!Guaranteed.covers(Pending.Info.Workspace, Pending.Need))
    return false;
  const EvictionPlanner Planner(Workers, GangsOnWorker);
  const StopCost Cost = [&](const Job &Victim) {
    return reclaimCost(Victim, Now);
  };
  const EvictionCost WorkerCost = [&](WorkerIndex Index, std::uint32_t Tasks) {
    EvictionPlan Plan;
    if (!mayUse(Pending, Index) ||
        !Planner.planForWorker(Index, Pending.Need, Tasks, Cost, Plan))
      return -1.0;
    return Plan.Cost;
  };
  GuaranteedPlacement Chosen;
  if (!Guaranteed.choose(Pending.Info.Workspace, Pending.Need, WorkerCost,
                         Chosen))
    return false;
  const std::vector<Member> Members = mergedByWorker(Chosen.Members);
  const Milliseconds Deadline = Pending.Info.Urgent
                                    ? Options.UrgentCheckpointDeadline
                                    : Options.CheckpointDeadline;
  for (const Member &Each : Members) {
    EvictionPlan Plan;
    if (!Planner.planForWorker(Each.Worker, Pending.Need, Each.Tasks, Cost,
                               Plan))
      return false;
    Reclaims += Plan.Victims.size();
    stopVictims(Plan.Victims, StopReason::Reclaimed, Deadline, Now);
    advanceStopDeadlines(Each.Worker, Deadline, Now);
  }
  Guaranteed.bind(Chosen, Pending.Need);
  startOrReserve(Pending, Members, false, std::move(Chosen.Uses));
  return true;
}

bool Scheduler::Core::tryFreeCapacity(Job &Pending,
                                      UnplaceableDemands &Unplaceable) {
  const bool KnownUnplaceable = std::any_of(
      Unplaceable.begin(), Unplaceable.end(), [&](const Demand &Failed) {
        return demandsAtLeast(Pending.Need, Failed);
      });
  if (KnownUnplaceable)
    return false;
  const WorkerTaskSlots Slots = [&](WorkerIndex Index) -> std::uint32_t {
    if (!mayUse(Pending, Index))
      return 0;
    return Workers.worker(Index).Free.tasksThatFit(Pending.Need);
  };
  std::vector<Member> Members;
  if (Placement->choose(Workers, Pending.Need, Slots, Members)) {
    startOrReserve(Pending, std::move(Members), true, {});
    return true;
  }
  if (Pending.FailedOn.empty() && Unplaceable.size() < MaxUnplaceableDemands)
    Unplaceable.push_back(Pending.Need);
  return false;
}

bool Scheduler::Core::tryEviction(Job &Pending, Instant Now) {
  if (aged(Pending, Now) && Reservations.size() >= MaxReservations)
    return false;
  const EvictionPlanner Planner(Workers, GangsOnWorker);
  EvictionPlan Plan;
  const auto Allowed = [&](WorkerIndex I) { return mayUse(Pending, I); };
  const auto Cost = [&](const Job &Victim) {
    return outrankCost(Victim, Pending, Now);
  };
  if (!Planner.planForGang(Pending.Need, Allowed, Cost, Plan))
    return false;
  // The evictions must not cost more than the pending gang's expected work.
  if (!aged(Pending, Now) && Plan.Cost > remainingWork(Pending, Now))
    return false;
  stopVictims(Plan.Victims, StopReason::Outranked,
              Options.RelaxedCheckpointDeadline, Now);
  startOrReserve(Pending, std::move(Plan.Members), true, {});
  Pending.Protected = aged(Pending, Now);
  return true;
}

bool Scheduler::Core::tryCompaction(Job &Pending, Instant Now) {
  const Milliseconds Waited = Now - Pending.Info.Submitted;
  if (Waited < MinCompactionWait ||
      Workers.freeAccelerators() < Pending.Need.totalAccelerators())
    return false;
  const EvictionPlanner Planner(Workers, GangsOnWorker);
  EvictionPlan Plan;
  const auto Allowed = [&](WorkerIndex I) { return mayUse(Pending, I); };
  const auto Cost = [&](const Job &Victim) {
    // Smaller gangs fit elsewhere; gangs of the same size or larger would have
    // to wait themselves.
    if (Victim.Need.totalAccelerators() >= Pending.Need.totalAccelerators() ||
        !Victim.Info.Idempotent)
      return -1.0;
    return reclaimCost(Victim, Now);
  };
  if (!Planner.planForGang(Pending.Need, Allowed, Cost, Plan))
    return false;
  // Compact only when that costs less than leaving the accelerators idle.
  const double IdleLoss = static_cast<double>(Waited.count()) *
                          static_cast<double>(Pending.Need.totalAccelerators());
  if (Plan.Cost > IdleLoss)
    return false;
  Compactions += Plan.Victims.size();
  stopVictims(Plan.Victims, StopReason::Compacted,
              Options.RelaxedCheckpointDeadline, Now);
  startOrReserve(Pending, std::move(Plan.Members), true, {});
  return true;
}

void Scheduler::Core::stopVictims(const std::vector<Job *> &Victims,
                                  StopReason Reason, Milliseconds Deadline,
                                  Instant Now) {
  for (Job *Victim : Victims) {
    if (Victim->Phase == JobPhase::Reserved) {
      cancelReservation(*Victim);
      continue;
    }
    if (!Victim->Borrowed)
      continue;
    stopGang(*Victim, Reason, true, Deadline);
    Victim->StopDeadline = Now + Deadline;
  }
}

/// Brings forward the stop of gangs that were given a longer deadline, because
/// a guarantee now needs their worker.
void Scheduler::Core::advanceStopDeadlines(WorkerIndex Index,
                                           Milliseconds Deadline, Instant Now) {
  for (Job *Each : GangsOnWorker[Index]) {
    if (Each->Phase != JobPhase::Stopping ||
        Each->StopDeadline <= Now + Deadline)
      continue;
    Each->StopDeadline = Now + Deadline;
    const StopGang Earlier{Each->Info.Id, Each->Number, StopReason::Reclaimed,
                           true, Deadline};
    if (StopGang *Issued = findStop(Commands, Earlier.Job))
      *Issued = Earlier;
    else
      Commands.emplace_back(Earlier);
  }
}

void Scheduler::Core::stopGang(Job &Gang, StopReason Reason, bool Checkpoint,
                               Milliseconds Deadline) {
  Gang.Phase = JobPhase::Stopping;
  Workers.setBeingFreed(Gang.Members, Gang.Need, true);
  Commands.emplace_back(
      StopGang{Gang.Info.Id, Gang.Number, Reason, Checkpoint, Deadline});
}

void Scheduler::Core::startOrReserve(Job &Pending, std::vector<Member> Members,
                                     bool Borrowed, std::vector<CellUse> Uses) {
  Pending.Members = std::move(Members);
  Pending.Borrowed = Borrowed;
  Pending.Uses = std::move(Uses);
  Pending.Phase = JobPhase::Reserved;
  Workers.allocate(Pending.Members, Pending.Need);
  addToWorkers(Pending);
  const bool Ready = std::all_of(
      Pending.Members.begin(), Pending.Members.end(), [&](const Member &Each) {
        return Workers.worker(Each.Worker).Free.isNonNegative();
      });
  if (Ready)
    emitStart(Pending);
  else
    Reservations.push_back(&Pending);
}

void Scheduler::Core::emitStart(Job &J) {
  J.Phase = JobPhase::Starting;
  J.Number = Attempt(J.Number.value() + 1);
  StartGang Start;
  Start.Job = J.Info.Id;
  Start.Number = J.Number;
  Start.Borrowed = J.Borrowed;
  Start.Resume = J.CheckpointedRun;
  for (const Member &Each : J.Members)
    Start.Members.push_back({Workers.worker(Each.Worker).Info.Id, Each.Tasks});
  Commands.emplace_back(std::move(Start));
}

} // namespace baobabcove
