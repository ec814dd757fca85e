#include "CellSimulator.h"

#include <algorithm>
#include <cmath>

namespace baobabcove::bench {

namespace {

/// Time in which a start or stop command takes effect.
constexpr Milliseconds StartDelay{200};
/// Time until the loss of a worker is detected.
constexpr Milliseconds LossDetection{7000};
/// Longest time between two decisions while jobs are open.
constexpr Milliseconds TickPeriod{5000};
/// Run time that every start after the first one repeats.
constexpr Milliseconds RestartWork{20000};
/// Delay between the failure of a job and its resubmission by the caller.
constexpr Milliseconds ResubmitAfter{600000};
/// Limit on the resubmissions of the same work.
constexpr int MaxResubmits = 60;
/// Longest waits of a job within its guarantee, for all jobs and for urgent
/// ones; a longer wait counts as a violation.
constexpr Milliseconds ReclaimTarget{30000};
constexpr Milliseconds UrgentTarget{2300};

/// Subtracts a gang from the smallest cell of a workspace that holds it.
/// Returns false when no cell does.
bool takeCell(std::vector<std::uint32_t> &FreeSizes, const JobInfo &Info) {
  const std::uint32_t Size = sizeOf(Info);
  std::sort(FreeSizes.begin(), FreeSizes.end());
  for (std::uint32_t &FreeSize : FreeSizes) {
    if (FreeSize < Size)
      continue;
    FreeSize -= Size;
    return true;
  }
  return false;
}

} // namespace

CellSimulator::CellSimulator(const Workload &Input,
                             const SchedulerOptions &Options,
                             std::uint64_t Seed)
    : Input(Input), JobScheduler(Options), Random(Seed) {}

void CellSimulator::schedule(Instant When, std::function<void()> Action) {
  Events.push({When, NextSequence++, std::move(Action)});
}

void CellSimulator::scheduleWorkload() {
  for (const WorkerInfo &Worker : Input.Workers)
    JobScheduler.workerSeen(Worker, Now);
  JobScheduler.setGuarantees(Input.Guarantees);
  for (const PlannedJob &Plan : Input.Jobs) {
    schedule(Plan.Info.Submitted, [this, &Plan] { submit(Plan, Now); });
    if (Plan.CancelAt != Instant())
      schedule(Plan.CancelAt, [this, &Plan] {
        SimulatedJob &Job = Jobs[Plan.Info.Id];
        if (Job.Ended)
          return;
        Job.Cancelled = true;
        JobScheduler.jobCancelled(Plan.Info.Id, Now);
      });
  }
  for (const Outage &Each : Input.Outages) {
    schedule(Each.From, [this, &Each] { loseWorker(Each.Worker); });
    schedule(Each.Until, [this, &Each] {
      DownWorkers.erase(Input.Workers[Each.Worker].Id.str());
      JobScheduler.workerSeen(Input.Workers[Each.Worker], Now);
    });
  }
}

CellSimulator::SimulatedJob &CellSimulator::submit(const PlannedJob &Plan,
                                                   Instant Origin) {
  SimulatedJob &Job = Jobs[Plan.Info.Id];
  Job.Plan = &Plan;
  Job.Origin = Origin;
  OpenJobs.insert(Plan.Info.Id);
  JobScheduler.jobQueued(Plan.Info, Now);
  return Job;
}

void CellSimulator::resubmit(const SimulatedJob &Unsuccessful) {
  Resubmissions.push_back(*Unsuccessful.Plan);
  PlannedJob &Plan = Resubmissions.back();
  Plan.Info.Id = JobId(Plan.Info.Id.str() + "+");
  Plan.CancelAt = Instant();
  const Instant Origin = Unsuccessful.Origin;
  const int Times = Unsuccessful.Resubmits + 1;
  schedule(Now + ResubmitAfter, [this, &Plan, Origin, Times] {
    Plan.Info.Submitted = Now;
    submit(Plan, Origin).Resubmits = Times;
  });
}

void CellSimulator::loseWorker(std::size_t Index) {
  const NodeId Id = Input.Workers[Index].Id;
  DownWorkers.insert(Id.str());
  for (auto &[Name, Job] : Jobs) {
    const bool Here =
        std::any_of(Job.Members.begin(), Job.Members.end(),
                    [&](const Placement &Each) { return Each.Worker == Id; });
    if (!Here || Job.Ended)
      continue;
    const std::uint64_t Number = Job.Attempt;
    schedule(Now + LossDetection, [this, &Gang = Job, Number, Id] {
      if (Gang.Attempt == Number && !Gang.Members.empty())
        endGang(Gang, {GangResult::Lost, Id, Gang.Resume, true, false});
    });
  }
  schedule(Now + LossDetection, [this, Id] {
    if (DownWorkers.count(Id.str()) != 0)
      JobScheduler.workerLost(Id, Now);
  });
}

Measures CellSimulator::run() {
  scheduleWorkload();
  Instant NextTick = Now;
  while (!Events.empty() || !OpenJobs.empty()) {
    const bool Tick = Events.empty() || Events.top().At >= NextTick;
    const Instant Next = Tick ? NextTick : Events.top().At;
    accumulate(Next);
    Now = Next;
    if (Tick)
      NextTick = Now + TickPeriod;
    while (!Events.empty() && Events.top().At <= Now) {
      const Event Due = Events.top();
      Events.pop();
      Due.Action();
    }
    decide();
    checkGuarantees();
    if (OpenJobs.empty() && !Events.empty())
      NextTick = std::max(NextTick, Events.top().At);
    if (seconds(Now.time_since_epoch()) > 20 * 24 * 3600)
      break;
  }
  return measure();
}

/// Adds the time up to \p Until to the time-weighted measures.
void CellSimulator::accumulate(Instant Until) {
  const double Span = seconds(Until - Now);
  if (Span <= 0)
    return;
  const SchedulerStats Figures = JobScheduler.stats();
  const double Free = static_cast<double>(Figures.FreeAccelerators);
  const JobInfo *Largest = nullptr;
  for (const JobId &Id : OpenJobs) {
    const SimulatedJob &Job = Jobs[Id];
    const bool Pending = Job.Members.empty() && !Job.Plan->AlwaysFails;
    if (Pending && (!Largest || sizeOf(Job.Plan->Info) > sizeOf(*Largest)))
      Largest = &Job.Plan->Info;
  }
  FreeTime += Free * Span;
  if (Largest && sizeOf(*Largest) <= Figures.FreeAccelerators &&
      !JobScheduler.fitsNow(*Largest))
    FragmentedFreeTime += Free * Span;
  BusyTime += Span * BusyAccelerators;
  QuarantineTime += Span * static_cast<double>(Figures.Quarantined);
}

void CellSimulator::decide() {
  const auto StartedAt = std::chrono::steady_clock::now();
  const std::vector<Command> Commands = JobScheduler.decide(Now);
  const std::chrono::duration<double, std::micro> Took =
      std::chrono::steady_clock::now() - StartedAt;
  DecisionUs.push_back(Took.count());
  for (const Command &Each : Commands)
    std::visit([this](const auto &Issued) { execute(Issued); }, Each);
}

void CellSimulator::execute(const StartGang &Start) {
  SimulatedJob &Job = Jobs[Start.Job];
  Job.Attempt = Start.Number.value();
  Job.Members = Start.Members;
  Job.Resume = Start.Resume;
  Job.Stopping = false;
  std::uint32_t Tasks = 0;
  bool Refused = false;
  for (const Placement &Each : Start.Members) {
    Tasks += Each.Tasks;
    Refused = Refused || DownWorkers.count(Each.Worker.str()) != 0;
    std::uint32_t &Used = InUse[Each.Worker.str()];
    Used += Each.Tasks * Job.Plan->Info.AcceleratorsPerTask;
    PartialGangs += Used > WorkerSize ? 1 : 0;
  }
  PartialGangs += Tasks != Job.Plan->Info.Tasks ? 1 : 0;
  const std::uint64_t Number = Job.Attempt;
  schedule(Now + StartDelay, [this, &Job, Number, Refused] {
    if (Job.Attempt != Number || Job.Members.empty())
      return;
    if (!Refused) {
      startGang(Job);
      return;
    }
    for (const Placement &Each : Job.Members)
      InUse[Each.Worker.str()] -=
          Each.Tasks * Job.Plan->Info.AcceleratorsPerTask;
    Job.Members.clear();
    JobScheduler.gangRefused(Job.Plan->Info.Id, Attempt(Number), NodeId(), Now);
  });
}

bool CellSimulator::holdsFailingWorker(const SimulatedJob &Job) const {
  if (Input.FailingWorker >= Input.Workers.size())
    return false;
  const NodeId &Failing = Input.Workers[Input.FailingWorker].Id;
  return std::any_of(
      Job.Members.begin(), Job.Members.end(),
      [&](const Placement &Each) { return Each.Worker == Failing; });
}

void CellSimulator::recordWait(SimulatedJob &Job) {
  if (!Job.Started)
    Job.FirstStart = Now;
  Job.Started = true;
  if (Job.Eligible) {
    const double Waited = seconds(Now - Job.EligibleSince);
    GuaranteedWaits.push_back(Waited);
    if (Job.Plan->Info.Urgent)
      UrgentWaits.push_back(Waited);
  }
  Job.Eligible = false;
}

void CellSimulator::startGang(SimulatedJob &Job) {
  recordWait(Job);
  Job.Running = true;
  BusyAccelerators += sizeOf(Job.Plan->Info);
  Job.StartedAt = Now;
  const std::uint64_t Number = Job.Attempt;
  JobScheduler.gangStarted(Job.Plan->Info.Id, Attempt(Number), Now);
  if (Job.Plan->MemoryMb > Job.Plan->Info.MemoryMbPerTask)
    schedule(Now + Milliseconds(60000), [this, &Job, Number] {
      if (Job.Attempt == Number && Job.Running)
        JobScheduler.usageReported(Job.Plan->Info.Id, Job.Plan->MemoryMb);
    });
  const bool OnFailingWorker = holdsFailingWorker(Job);
  Milliseconds Left = Job.Plan->Run - Job.Resume;
  if (Number > 1)
    Left += RestartWork;
  GangEnd End{GangResult::Succeeded, NodeId(), Job.Plan->Run, true, false};
  if (OnFailingWorker || Job.Plan->AlwaysFails) {
    Left = Milliseconds(OnFailingWorker ? 1000 : 10000);
    End = {GangResult::Failed, Job.Members[0].Worker, Job.Resume, true, false};
    if (OnFailingWorker)
      End.FaultyWorker = Input.Workers[Input.FailingWorker].Id;
  }
  schedule(Now + std::max(Left, Milliseconds(1)), [this, &Job, Number, End] {
    if (Job.Attempt == Number && Job.Running)
      endGang(Job, End);
  });
}

void CellSimulator::endGang(SimulatedJob &Job, const GangEnd &End) {
  const double Ran = Job.Running ? seconds(Now - Job.StartedAt) : 0;
  const double KeptSeconds =
      End.Result == GangResult::Succeeded
          ? Ran
          : std::max(0.0, seconds(End.Progress - Job.Resume));
  LostTime += std::max(0.0, Ran - KeptSeconds) * sizeOf(Job.Plan->Info);
  for (const Placement &Each : Job.Members)
    InUse[Each.Worker.str()] -= Each.Tasks * Job.Plan->Info.AcceleratorsPerTask;
  Job.Members.clear();
  BusyAccelerators -= Job.Running ? sizeOf(Job.Plan->Info) : 0;
  Job.Running = false;
  Job.Stopping = false;
  if (End.Result == GangResult::Succeeded) {
    Job.Ended = true;
    Job.Succeeded = true;
    Job.EndedAt = Now;
    OpenJobs.erase(Job.Plan->Info.Id);
  }
  JobScheduler.gangEnded(Job.Plan->Info.Id, Attempt(Job.Attempt), End, Now);
}

/// Draws the duration of a checkpoint; one in ten takes ten times as long.
Milliseconds CellSimulator::checkpointTime() {
  std::uniform_int_distribution<int> Usual(500, 8000);
  std::bernoulli_distribution Slow(0.1);
  const int UsualMs = Usual(Random);
  return Milliseconds(UsualMs * (Slow(Random) ? 10 : 1));
}

void CellSimulator::execute(const StopGang &Stop) {
  SimulatedJob &Job = Jobs[Stop.Job];
  if (Job.Members.empty())
    return;
  // A second command brings forward the deadline of the first one.
  const Milliseconds Needed = Job.Stopping      ? Milliseconds(INT32_MAX)
                              : Stop.Checkpoint ? checkpointTime()
                                                : Milliseconds(0);
  Job.Stopping = true;
  ++Stops[stopReasonName(Stop.Reason)];
  const bool CheckpointWritten =
      Stop.Checkpoint && Job.Running && Needed <= Stop.Deadline;
  const Milliseconds Progress =
      CheckpointWritten
          ? std::max(Job.Resume,
                     Job.Resume + (Now - Job.StartedAt) -
                         (Job.Attempt > 1 ? RestartWork : Milliseconds(0)))
          : Job.Resume;
  const std::uint64_t Number = Job.Attempt;
  const GangEnd End{GangResult::Stopped, NodeId(), Progress, true,
                    CheckpointWritten};
  schedule(Now + StartDelay + std::min(Needed, Stop.Deadline),
           [this, &Job, Number, End] {
             if (Job.Attempt == Number && !Job.Members.empty())
               endGang(Job, End);
           });
}

void CellSimulator::execute(const EndJob &End) {
  SimulatedJob &Job = Jobs[End.Job];
  Job.Ended = true;
  Job.EndedAt = Now;
  Job.Eligible = false;
  OpenJobs.erase(End.Job);
  if (!Job.Plan->AlwaysFails && !Job.Cancelled && Job.Resubmits < MaxResubmits)
    resubmit(Job);
}

/// Returns whether the job and all gangs of its workspace, borrowed or not, fit
/// into the guaranteed cells together. Independent of the scheduler's own
/// computation.
bool CellSimulator::withinGuarantee(const SimulatedJob &Job) const {
  std::vector<std::uint32_t> FreeSizes;
  for (const WorkspaceGuarantee &Each : Input.Guarantees)
    if (Each.Workspace == Job.Plan->Info.Workspace)
      for (const GuaranteeShape &Shape : Each.Shapes)
        FreeSizes.insert(FreeSizes.end(), Shape.Count, Shape.Accelerators);
  for (const JobId &Id : OpenJobs) {
    const SimulatedJob &Other = Jobs.at(Id);
    if (Other.Plan->Info.Workspace == Job.Plan->Info.Workspace &&
        !Other.Members.empty() && !takeCell(FreeSizes, Other.Plan->Info))
      return false;
  }
  return takeCell(FreeSizes, Job.Plan->Info);
}

void CellSimulator::checkGuarantees() {
  const bool Packable =
      JobScheduler.stats().UnpackableCells == 0 && DownWorkers.empty();
  std::set<std::string> ClaimingWorkspaces;
  for (const JobId &Id : OpenJobs) {
    SimulatedJob &Job = Jobs[Id];
    if (!Job.Members.empty() || Job.Plan->AlwaysFails)
      continue;
    // Only one pending job of a workspace can claim the same cells.
    const std::string Workspace = Job.Plan->Info.Workspace.str();
    const bool Claims = Packable && ClaimingWorkspaces.count(Workspace) == 0 &&
                        Job.Attempt == 0 && withinGuarantee(Job);
    if (Claims)
      ClaimingWorkspaces.insert(Workspace);
    if (!Claims || !Job.Eligible) {
      Job.Eligible = Claims;
      Job.EligibleSince = Now;
      continue;
    }
    const Milliseconds Target =
        Job.Plan->Info.Urgent ? UrgentTarget : ReclaimTarget;
    if (!Job.ViolationCounted && Now - Job.EligibleSince > Target) {
      Job.ViolationCounted = true;
      ++Violations;
    }
  }
}

} // namespace baobabcove::bench
