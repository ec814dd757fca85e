#include "scheduler/SchedulerCore.h"

#include <algorithm>
#include <cmath>

namespace baobabcove {

namespace {

constexpr Milliseconds RankPeriod{5000};
/// A shape that no known worker can hold may wait this long for new workers.
constexpr Milliseconds ImpossiblePatience{60000};
constexpr std::size_t MaxMisfits = 64;
constexpr std::size_t MaxEvictionsTried = 4;
/// Only gangs with this many times the expected work left are stopped for a
/// smaller one.
constexpr double OutrankFactor = 2.5;
/// A gang that began this recently is not stopped for a smaller one.
constexpr Milliseconds LeastRun{5 * 60 * 1000};
/// Waiting time after which a job's rank has halved.
constexpr double RankHalfLifeMs = 4.0 * 3600 * 1000;
constexpr double NotIdempotentPenalty = 20;
constexpr double ReservationPenalty = 50;
/// Longest expected rest of a gang that a reservation waits for.
constexpr Milliseconds LongestAwait{60 * 60 * 1000};
/// Gangs that may hold a reservation while others end.
constexpr std::size_t MaxReservations = 2;
constexpr Milliseconds LeastCompactionWait{10000};

bool atLeast(const Demand &Larger, const Demand &Than) {
  return Larger.Tasks >= Than.Tasks &&
         Larger.Accelerators >= Than.Accelerators &&
         Larger.Cores >= Than.Cores && Larger.MemoryMb >= Than.MemoryMb &&
         Larger.Near == Than.Near;
}

/// The order to stop a gang among the commands of this pass, or null.
StopGang *stopOf(std::vector<Command> &Commands, const JobId &Id) {
  for (Command &Each : Commands)
    if (auto *Stop = std::get_if<StopGang>(&Each); Stop && Stop->Job == Id)
      return Stop;
  return nullptr;
}

std::vector<Member> merged(std::vector<Member> Members) {
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
  startReady();
  if (Traits.Reclaims)
    claimPlanned(Now);
  emptyDraining(Now);
  endImpossible(Now);
  rankWaiting(Now);
  startWaiting(Now);
  std::vector<Command> Result;
  Result.swap(Commands);
  return Result;
}

void Scheduler::Core::releaseQuarantined(Instant Now) {
  const std::vector<WorkerIndex> Freed = Health.released(Now);
  for (WorkerIndex Index : Freed)
    Workers.setQuarantined(Index, false);
  if (!Freed.empty())
    workersChanged();
}

void Scheduler::Core::startReady() {
  const std::vector<Job *> Before = Planned;
  for (Job *Gang : Before) {
    const bool Ready = std::all_of(
        Gang->Members.begin(), Gang->Members.end(), [&](const Member &Each) {
          return Workers.worker(Each.Worker).Free.covered();
        });
    if (!Ready)
      continue;
    Planned.erase(std::remove(Planned.begin(), Planned.end(), Gang),
                  Planned.end());
    emitStart(*Gang);
  }
}

/// Gangs on a worker in graceful shutdown move on by checkpoint. One that is
/// not idempotent is left to its end, as a failed checkpoint would lose it.
void Scheduler::Core::emptyDraining(Instant Now) {
  for (WorkerIndex Index = 0; Index < OnWorker.size(); ++Index) {
    if (!Workers.worker(Index).Present || !Workers.worker(Index).Info.Draining)
      continue;
    for (Job *Gang : OnWorker[Index]) {
      if (Gang->Phase != JobPhase::Running || !Gang->Info.Idempotent)
        continue;
      stopGang(*Gang, StopReason::Drained, true,
               Options.PatientCheckpointDeadline);
      Gang->StopBy = Now + Options.PatientCheckpointDeadline;
    }
  }
}

/// A gang that waits as a borrower for others to leave at their leisure claims
/// its workspace's guarantee as soon as that covers it, and keeps its workers
/// when it cannot.
void Scheduler::Core::claimPlanned(Instant Now) {
  const std::vector<Job *> Before = Planned;
  for (Job *Gang : Before) {
    if (Gang->Phase != JobPhase::Planned || !Gang->Borrowed ||
        !Guaranteed.covers(Gang->Info.Workspace, Gang->Need))
      continue;
    std::vector<Member> Held = Gang->Members;
    removeFrom(Planned, Gang);
    release(*Gang);
    if (!tryGuaranteed(*Gang, Now))
      commit(*Gang, std::move(Held), true, {});
  }
}

void Scheduler::Core::endImpossible(Instant Now) {
  const std::vector<Job *> Before = Waiting;
  for (Job *Waits : Before) {
    if (!Waits->Impossible)
      continue;
    Waits->Impossible = !canEverRun(Waits->Info);
    if (Waits->Impossible && Now >= Waits->ImpossibleSince + ImpossiblePatience)
      endJob(*Waits, ResultCode::ShapeImpossible,
             "No set of known workers can hold the shape.");
  }
}

Milliseconds Scheduler::Core::attained(const Job &Which, Instant Now) const {
  if (Which.Phase != JobPhase::Running && Which.Phase != JobPhase::Stopping)
    return Which.Kept;
  return Which.Kept + (Now - Which.Started);
}

double Scheduler::Core::areaOf(const Job &Which, Instant Now) const {
  const Milliseconds Had = attained(Which, Now);
  const Milliseconds Whole = Learned.predict(Which.Info, Had);
  return static_cast<double>((Whole - Had).count()) *
         static_cast<double>(Which.Need.totalAccelerators());
}

bool Scheduler::Core::aged(const Job &Waits, Instant Now) const {
  return Now - Waits.Info.Submitted >= Options.AgeLimit;
}

double Scheduler::Core::rankOf(const Job &Waits, Instant Now) const {
  // Aged jobs go first, the oldest before all; then urgent ones; then the
  // least expected work, which counts for less the longer it has waited.
  const double Waited =
      static_cast<double>((Now - Waits.Info.Submitted).count());
  if (aged(Waits, Now))
    return -1e18 - Waited;
  if (Waits.Info.Urgent)
    return -1e17 - Waited;
  const double Work = areaOf(Waits, Now);
  const double Size = static_cast<double>(Waits.Need.totalAccelerators());
  const double Width = std::pow(Size, 2 * (1 - Options.CompletionWeight));
  return Work / Width / (1 + Waited / RankHalfLifeMs);
}

void Scheduler::Core::rankWaiting(Instant Now) {
  if (LastRanked != Instant() && Now - LastRanked < RankPeriod)
    return;
  LastRanked = Now;
  for (Job *Waits : Waiting)
    Waits->Rank = Traits.Ranks
                      ? rankOf(*Waits, Now)
                      : static_cast<double>(
                            Waits->Info.Submitted.time_since_epoch().count());
  std::sort(Waiting.begin(), Waiting.end(), [](const Job *L, const Job *R) {
    return L->Rank != R->Rank ? L->Rank < R->Rank : L->Info.Id < R->Info.Id;
  });
}

void Scheduler::Core::startWaiting(Instant Now) {
  Misfits Tried;
  EvictionsTried = 0;
  std::vector<Job *> Left;
  std::vector<Job *> Before;
  Before.swap(Waiting);
  for (std::size_t I = 0; I < Before.size(); ++I) {
    Job *Waits = Before[I];
    if (Waits->NotBefore > Now || Waits->Impossible ||
        !tryOne(*Waits, Now, Tried))
      Left.push_back(Waits);
  }
  Waiting.insert(Waiting.begin(), Left.begin(), Left.end());
}

bool Scheduler::Core::tryOne(Job &Waits, Instant Now, Misfits &Tried) {
  if (Traits.Reclaims && tryGuaranteed(Waits, Now))
    return true;
  if (tryFree(Waits, Tried))
    return true;
  if (!Traits.Evicts || EvictionsTried >= MaxEvictionsTried)
    return false;
  ++EvictionsTried;
  return tryEvicting(Waits, Now) || tryCompacting(Waits, Now);
}

bool Scheduler::Core::mayUse(const Job &Waits, WorkerIndex Index) const {
  const Worker &Which = Workers.worker(Index);
  if (!Which.usable())
    return false;
  return Waits.FailedOn.empty() || Waits.FailedOn.count(Which.Info.Id) == 0;
}

double Scheduler::Core::reclaimCost(const Job &Victim, Instant) const {
  if (!Victim.Borrowed)
    return -1;
  const double Loss = static_cast<double>(Options.RestartCost.count()) *
                      static_cast<double>(Victim.Need.totalAccelerators());
  // A reservation is given up last: the gang has waited long for it.
  if (Victim.Phase == JobPhase::Planned)
    return Loss * ReservationPenalty;
  if (Victim.Phase != JobPhase::Running)
    return -1;
  return Victim.Info.Idempotent ? Loss : Loss * NotIdempotentPenalty;
}

double Scheduler::Core::outrankCost(const Job &Victim, const Job &For,
                                    Instant Now) const {
  if (aged(For, Now) && !Victim.Borrowed && Victim.Phase == JobPhase::Running)
    return awaitCost(Victim, Now);
  const double Loss = reclaimCost(Victim, Now);
  if (Loss < 0 || Victim.Phase == JobPhase::Planned || Victim.Protected ||
      !Victim.Info.Idempotent)
    return -1;
  if (aged(For, Now))
    return Loss;
  if (Victim.Info.Urgent || Now - Victim.Started < LeastRun)
    return -1;
  const double Own = areaOf(For, Now);
  const double Other = areaOf(Victim, Now);
  // Of several, the one with most work left suffers least from waiting.
  return Other >= OutrankFactor * Own ? Loss * (1 + Own / Other) : -1;
}

/// A gang within its guarantee is not stopped for an aged one, but may be
/// waited for when it is expected to end soon.
double Scheduler::Core::awaitCost(const Job &Victim, Instant Now) const {
  const double Area = areaOf(Victim, Now);
  const double Left =
      Area / static_cast<double>(Victim.Need.totalAccelerators());
  return Left <= static_cast<double>(LongestAwait.count()) ? Area : -1;
}

bool Scheduler::Core::tryGuaranteed(Job &Waits, Instant Now) {
  if (!Guaranteed.covers(Waits.Info.Workspace, Waits.Need))
    return false;
  const EvictionPlanner Planner(Workers, OnWorker);
  const StopCost Cost = [&](const Job &Victim) {
    return reclaimCost(Victim, Now);
  };
  const EvictionCost OnOne = [&](WorkerIndex Index, std::uint32_t Tasks) {
    EvictionPlan Plan;
    if (!mayUse(Waits, Index) ||
        !Planner.onWorker(Index, Waits.Need, Tasks, Cost, Plan))
      return -1.0;
    return Plan.Cost;
  };
  GuaranteedPlacement Chosen;
  if (!Guaranteed.choose(Waits.Info.Workspace, Waits.Need, OnOne, Chosen))
    return false;
  const std::vector<Member> Members = merged(Chosen.Members);
  const Milliseconds Deadline = Waits.Info.Urgent
                                    ? Options.UrgentCheckpointDeadline
                                    : Options.CheckpointDeadline;
  for (const Member &Each : Members) {
    EvictionPlan Plan;
    if (!Planner.onWorker(Each.Worker, Waits.Need, Each.Tasks, Cost, Plan))
      return false;
    Reclaims += Plan.Victims.size();
    stopVictims(Plan.Victims, StopReason::Reclaimed, Deadline, Now);
    hurryLeaving(Each.Worker, Deadline, Now);
  }
  Guaranteed.bind(Chosen, Waits.Need);
  commit(Waits, Members, false, std::move(Chosen.Uses));
  return true;
}

bool Scheduler::Core::tryFree(Job &Waits, Misfits &Tried) {
  const bool Hopeless =
      std::any_of(Tried.begin(), Tried.end(), [&](const Demand &Misfit) {
        return atLeast(Waits.Need, Misfit);
      });
  if (Hopeless)
    return false;
  const RoomOnWorker Room = [&](WorkerIndex Index) -> std::uint32_t {
    if (!mayUse(Waits, Index))
      return 0;
    return Workers.worker(Index).Free.tasks(Waits.Need);
  };
  std::vector<Member> Members;
  if (Placement->choose(Workers, Waits.Need, Room, Members)) {
    commit(Waits, std::move(Members), true, {});
    return true;
  }
  if (Waits.FailedOn.empty() && Tried.size() < MaxMisfits)
    Tried.push_back(Waits.Need);
  return false;
}

bool Scheduler::Core::tryEvicting(Job &Waits, Instant Now) {
  if (aged(Waits, Now) && Planned.size() >= MaxReservations)
    return false;
  const EvictionPlanner Planner(Workers, OnWorker);
  EvictionPlan Plan;
  const auto Allowed = [&](WorkerIndex I) { return mayUse(Waits, I); };
  const auto Cost = [&](const Job &Victim) {
    return outrankCost(Victim, Waits, Now);
  };
  if (!Planner.forGang(Waits.Need, Allowed, Cost, Plan))
    return false;
  // A stop must not throw away more than the gang in question will use.
  if (!aged(Waits, Now) && Plan.Cost > areaOf(Waits, Now))
    return false;
  stopVictims(Plan.Victims, StopReason::Outranked,
              Options.PatientCheckpointDeadline, Now);
  commit(Waits, std::move(Plan.Members), true, {});
  Waits.Protected = aged(Waits, Now);
  return true;
}

bool Scheduler::Core::tryCompacting(Job &Waits, Instant Now) {
  const Milliseconds Waited = Now - Waits.Info.Submitted;
  if (Waited < LeastCompactionWait ||
      Workers.freeAccelerators() < Waits.Need.totalAccelerators())
    return false;
  const EvictionPlanner Planner(Workers, OnWorker);
  EvictionPlan Plan;
  const auto Allowed = [&](WorkerIndex I) { return mayUse(Waits, I); };
  const auto Cost = [&](const Job &Victim) {
    // Smaller gangs find other places; larger ones would wait in their turn.
    if (Victim.Need.totalAccelerators() >= Waits.Need.totalAccelerators() ||
        !Victim.Info.Idempotent)
      return -1.0;
    return reclaimCost(Victim, Now);
  };
  if (!Planner.forGang(Waits.Need, Allowed, Cost, Plan))
    return false;
  // It pays when it throws away less than the free accelerators lose idle.
  const double Idle = static_cast<double>(Waited.count()) *
                      static_cast<double>(Waits.Need.totalAccelerators());
  if (Plan.Cost > Idle)
    return false;
  Compactions += Plan.Victims.size();
  stopVictims(Plan.Victims, StopReason::Compacted,
              Options.PatientCheckpointDeadline, Now);
  commit(Waits, std::move(Plan.Members), true, {});
  return true;
}

void Scheduler::Core::stopVictims(const std::vector<Job *> &Victims,
                                  StopReason Reason, Milliseconds Deadline,
                                  Instant Now) {
  for (Job *Victim : Victims) {
    if (Victim->Phase == JobPhase::Planned) {
      unplan(*Victim);
      continue;
    }
    if (!Victim->Borrowed)
      continue;
    stopGang(*Victim, Reason, true, Deadline);
    Victim->StopBy = Now + Deadline;
  }
}

/// Gangs that leave at their leisure must now make way for a guarantee.
void Scheduler::Core::hurryLeaving(WorkerIndex Index, Milliseconds Deadline,
                                   Instant Now) {
  for (Job *Each : OnWorker[Index]) {
    if (Each->Phase != JobPhase::Stopping || Each->StopBy <= Now + Deadline)
      continue;
    Each->StopBy = Now + Deadline;
    const StopGang Sooner{Each->Info.Id, Each->Number, StopReason::Reclaimed,
                          true, Deadline};
    if (StopGang *Present = stopOf(Commands, Sooner.Job))
      *Present = Sooner;
    else
      Commands.emplace_back(Sooner);
  }
}

void Scheduler::Core::stopGang(Job &Gang, StopReason Reason, bool Checkpoint,
                               Milliseconds Deadline) {
  Gang.Phase = JobPhase::Stopping;
  Workers.setLeaving(Gang.Members, Gang.Need, true);
  Commands.emplace_back(
      StopGang{Gang.Info.Id, Gang.Number, Reason, Checkpoint, Deadline});
}

void Scheduler::Core::commit(Job &Waits, std::vector<Member> Members,
                             bool Borrowed, std::vector<CellUse> Uses) {
  Waits.Members = std::move(Members);
  Waits.Borrowed = Borrowed;
  Waits.Uses = std::move(Uses);
  Waits.Phase = JobPhase::Planned;
  Workers.take(Waits.Members, Waits.Need);
  reside(Waits);
  const bool Ready = std::all_of(
      Waits.Members.begin(), Waits.Members.end(), [&](const Member &Each) {
        return Workers.worker(Each.Worker).Free.covered();
      });
  if (Ready)
    emitStart(Waits);
  else
    Planned.push_back(&Waits);
}

void Scheduler::Core::emitStart(Job &Ready) {
  Ready.Phase = JobPhase::Starting;
  Ready.Number = Attempt(Ready.Number.value() + 1);
  StartGang Start;
  Start.Job = Ready.Info.Id;
  Start.Number = Ready.Number;
  Start.Borrowed = Ready.Borrowed;
  Start.Resume = Ready.Kept;
  for (const Member &Each : Ready.Members)
    Start.Members.push_back({Workers.worker(Each.Worker).Info.Id, Each.Tasks});
  Commands.emplace_back(std::move(Start));
}

} // namespace baobabcove
