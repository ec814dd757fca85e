#include "FakeCell.h"

#include <algorithm>
#include <cmath>

namespace baobabcove::bench {

namespace {

constexpr Milliseconds StartDelay{200};
constexpr Milliseconds LossDetection{7000};
constexpr Milliseconds TickPeriod{5000};
/// Run time that every start after a stop repeats.
constexpr Milliseconds RestartWork{20000};
/// Time in which a caller notices that work failed, and sends it again.
constexpr Milliseconds ResubmitAfter{600000};
constexpr int MaxResubmits = 60;
/// Targets: work within its guarantee starts within these.
constexpr Milliseconds ReclaimTarget{30000};
constexpr Milliseconds UrgentTarget{2300};

/// Takes room for a gang out of the free sizes of a workspace's cells.
bool embed(std::vector<std::uint32_t> &Cells, const JobInfo &Info) {
  const std::uint32_t Size = sizeOf(Info);
  std::sort(Cells.begin(), Cells.end());
  for (std::uint32_t &Cell : Cells) {
    if (Cell < Size)
      continue;
    Cell -= Size;
    return true;
  }
  return false;
}

} // namespace

FakeCell::FakeCell(const Workload &Given, const SchedulerOptions &Options,
                   std::uint64_t Seed)
    : Given(Given), Policy(Options), Random(Seed) {}

void FakeCell::at(Instant When, std::function<void()> Happen) {
  Events.push({When, NextOrder++, std::move(Happen)});
}

void FakeCell::scheduleWorkload() {
  for (const WorkerInfo &Worker : Given.Workers)
    Policy.workerSeen(Worker, Now);
  Policy.setGuarantees(Given.Guarantees);
  for (const PlannedJob &Plan : Given.Jobs) {
    at(Plan.Info.Submitted, [this, &Plan] { submit(Plan, Now); });
    if (Plan.CancelAt != Instant())
      at(Plan.CancelAt, [this, &Plan] {
        Track &Job = Jobs[Plan.Info.Id];
        if (Job.Ended)
          return;
        Job.Cancelled = true;
        Policy.jobCancelled(Plan.Info.Id, Now);
      });
  }
  for (const Absence &Each : Given.Absences) {
    at(Each.From, [this, &Each] { loseWorker(Each.Worker); });
    at(Each.Until, [this, &Each] {
      Absent.erase(Given.Workers[Each.Worker].Id.str());
      Policy.workerSeen(Given.Workers[Each.Worker], Now);
    });
  }
}

FakeCell::Track &FakeCell::submit(const PlannedJob &Plan, Instant Origin) {
  Track &Job = Jobs[Plan.Info.Id];
  Job.Plan = &Plan;
  Job.Origin = Origin;
  Open.insert(Plan.Info.Id);
  Policy.jobQueued(Plan.Info, Now);
  return Job;
}

void FakeCell::resubmit(const Track &Failed) {
  Again.push_back(*Failed.Plan);
  PlannedJob &Plan = Again.back();
  Plan.Info.Id = JobId(Plan.Info.Id.str() + "+");
  Plan.CancelAt = Instant();
  const Instant Origin = Failed.Origin;
  const int Times = Failed.Resubmitted + 1;
  at(Now + ResubmitAfter, [this, &Plan, Origin, Times] {
    Plan.Info.Submitted = Now;
    submit(Plan, Origin).Resubmitted = Times;
  });
}

void FakeCell::loseWorker(std::size_t Index) {
  const NodeId Id = Given.Workers[Index].Id;
  Absent.insert(Id.str());
  for (auto &[Name, Job] : Jobs) {
    const bool Here =
        std::any_of(Job.Members.begin(), Job.Members.end(),
                    [&](const Placement &Each) { return Each.Worker == Id; });
    if (!Here || Job.Ended)
      continue;
    const std::uint64_t Number = Job.Attempt;
    at(Now + LossDetection, [this, &Gang = Job, Number, Id] {
      if (Gang.Attempt == Number && !Gang.Members.empty())
        finish(Gang, {GangResult::Lost, Id, Gang.Resume, true, false});
    });
  }
  at(Now + LossDetection, [this, Id] {
    if (Absent.count(Id.str()) != 0)
      Policy.workerLost(Id, Now);
  });
}

Measures FakeCell::run() {
  scheduleWorkload();
  Instant NextTick = Now;
  while (!Events.empty() || !Open.empty()) {
    const bool Tick = Events.empty() || Events.top().At >= NextTick;
    const Instant Next = Tick ? NextTick : Events.top().At;
    observe(Next);
    Now = Next;
    if (Tick)
      NextTick = Now + TickPeriod;
    while (!Events.empty() && Events.top().At <= Now) {
      const Event Due = Events.top();
      Events.pop();
      Due.Happen();
    }
    decide();
    checkGuarantees();
    if (Open.empty() && !Events.empty())
      NextTick = std::max(NextTick, Events.top().At);
    if (seconds(Now.time_since_epoch()) > 20 * 24 * 3600)
      break;
  }
  return measure();
}

/// Adds the time up to \p Until to the time-weighted measures.
void FakeCell::observe(Instant Until) {
  const double Span = seconds(Until - Now);
  if (Span <= 0)
    return;
  const SchedulerFigures Figures = Policy.figures();
  const double Free = static_cast<double>(Figures.FreeAccelerators);
  const JobInfo *Largest = nullptr;
  for (const JobId &Id : Open) {
    const Track &Job = Jobs[Id];
    const bool Waits = Job.Members.empty() && !Job.Plan->Never;
    if (Waits && (!Largest || sizeOf(Job.Plan->Info) > sizeOf(*Largest)))
      Largest = &Job.Plan->Info;
  }
  AllFree += Free * Span;
  if (Largest && sizeOf(*Largest) <= Figures.FreeAccelerators &&
      !Policy.fitsNow(*Largest))
    StuckFree += Free * Span;
  BusyTime += Span * Busy;
  QuarantineTime += Span * static_cast<double>(Figures.Quarantined);
}

void FakeCell::decide() {
  const auto Began = std::chrono::steady_clock::now();
  const std::vector<Command> Commands = Policy.decide(Now);
  const std::chrono::duration<double, std::micro> Took =
      std::chrono::steady_clock::now() - Began;
  DecisionUs.push_back(Took.count());
  for (const Command &Each : Commands)
    std::visit([this](const auto &What) { carryOut(What); }, Each);
}

void FakeCell::carryOut(const StartGang &Start) {
  Track &Job = Jobs[Start.Job];
  Job.Attempt = Start.Number.value();
  Job.Members = Start.Members;
  Job.Resume = Start.Resume;
  Job.Stopping = false;
  std::uint32_t Tasks = 0;
  bool Refused = false;
  for (const Placement &Each : Start.Members) {
    Tasks += Each.Tasks;
    Refused = Refused || Absent.count(Each.Worker.str()) != 0;
    std::uint32_t &Used = InUse[Each.Worker.str()];
    Used += Each.Tasks * Job.Plan->Info.AcceleratorsPerTask;
    Partial += Used > WorkerSize ? 1 : 0;
  }
  Partial += Tasks != Job.Plan->Info.Tasks ? 1 : 0;
  const std::uint64_t Number = Job.Attempt;
  at(Now + StartDelay, [this, &Job, Number, Refused] {
    if (Job.Attempt != Number || Job.Members.empty())
      return;
    if (!Refused) {
      begin(Job);
      return;
    }
    for (const Placement &Each : Job.Members)
      InUse[Each.Worker.str()] -=
          Each.Tasks * Job.Plan->Info.AcceleratorsPerTask;
    Job.Members.clear();
    Policy.gangRefused(Job.Plan->Info.Id, Attempt(Number), NodeId(), Now);
  });
}

bool FakeCell::holdsFailingWorker(const Track &Job) const {
  if (Given.FailingWorker >= Given.Workers.size())
    return false;
  const NodeId &Failing = Given.Workers[Given.FailingWorker].Id;
  return std::any_of(
      Job.Members.begin(), Job.Members.end(),
      [&](const Placement &Each) { return Each.Worker == Failing; });
}

void FakeCell::noteWait(Track &Job) {
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

void FakeCell::begin(Track &Job) {
  noteWait(Job);
  Job.Running = true;
  Busy += sizeOf(Job.Plan->Info);
  Job.Began = Now;
  const std::uint64_t Number = Job.Attempt;
  Policy.gangStarted(Job.Plan->Info.Id, Attempt(Number), Now);
  if (Job.Plan->MemoryMb > Job.Plan->Info.MemoryMbPerTask)
    at(Now + Milliseconds(60000), [this, &Job, Number] {
      if (Job.Attempt == Number && Job.Running)
        Policy.usageReported(Job.Plan->Info.Id, Job.Plan->MemoryMb);
    });
  const bool Breaks = holdsFailingWorker(Job);
  Milliseconds Left = Job.Plan->Run - Job.Resume;
  if (Number > 1)
    Left += RestartWork;
  GangEnd End{GangResult::Succeeded, NodeId(), Job.Plan->Run, true, false};
  if (Breaks || Job.Plan->Never) {
    Left = Milliseconds(Breaks ? 1000 : 10000);
    End = {GangResult::Failed, Job.Members[0].Worker, Job.Resume, true, false};
    if (Breaks)
      End.Blamed = Given.Workers[Given.FailingWorker].Id;
  }
  at(Now + std::max(Left, Milliseconds(1)), [this, &Job, Number, End] {
    if (Job.Attempt == Number && Job.Running)
      finish(Job, End);
  });
}

void FakeCell::finish(Track &Job, const GangEnd &End) {
  const double Ran = Job.Running ? seconds(Now - Job.Began) : 0;
  const double Kept = End.Result == GangResult::Succeeded
                          ? Ran
                          : std::max(0.0, seconds(End.Progress - Job.Resume));
  LostTime += std::max(0.0, Ran - Kept) * sizeOf(Job.Plan->Info);
  for (const Placement &Each : Job.Members)
    InUse[Each.Worker.str()] -= Each.Tasks * Job.Plan->Info.AcceleratorsPerTask;
  Job.Members.clear();
  Busy -= Job.Running ? sizeOf(Job.Plan->Info) : 0;
  Job.Running = false;
  Job.Stopping = false;
  if (End.Result == GangResult::Succeeded) {
    Job.Ended = true;
    Job.Succeeded = true;
    Job.EndedAt = Now;
    Open.erase(Job.Plan->Info.Id);
  }
  Policy.gangEnded(Job.Plan->Info.Id, Attempt(Job.Attempt), End, Now);
}

/// One checkpoint in ten is slow.
Milliseconds FakeCell::checkpointTime() {
  std::uniform_int_distribution<int> Usual(500, 8000);
  std::bernoulli_distribution Slow(0.1);
  return Milliseconds(Usual(Random) * (Slow(Random) ? 10 : 1));
}

void FakeCell::carryOut(const StopGang &Stop) {
  Track &Job = Jobs[Stop.Job];
  if (Job.Members.empty())
    return;
  // A second order brings the deadline of the first one forward.
  const Milliseconds Needed = Job.Stopping      ? Milliseconds(INT32_MAX)
                              : Stop.Checkpoint ? checkpointTime()
                                                : Milliseconds(0);
  Job.Stopping = true;
  ++Stops[stopReasonName(Stop.Reason)];
  const bool Kept = Stop.Checkpoint && Job.Running && Needed <= Stop.Deadline;
  const Milliseconds Progress =
      Kept ? std::max(Job.Resume,
                      Job.Resume + (Now - Job.Began) -
                          (Job.Attempt > 1 ? RestartWork : Milliseconds(0)))
           : Job.Resume;
  const std::uint64_t Number = Job.Attempt;
  const GangEnd End{GangResult::Stopped, NodeId(), Progress, true, Kept};
  at(Now + StartDelay + std::min(Needed, Stop.Deadline),
     [this, &Job, Number, End] {
       if (Job.Attempt == Number && !Job.Members.empty())
         finish(Job, End);
     });
}

void FakeCell::carryOut(const EndJob &End) {
  Track &Job = Jobs[End.Job];
  Job.Ended = true;
  Job.EndedAt = Now;
  Job.Eligible = false;
  Open.erase(End.Job);
  if (!Job.Plan->Never && !Job.Cancelled && Job.Resubmitted < MaxResubmits)
    resubmit(Job);
}

/// Judged apart from the scheduler: everything that the workspace runs, lent
/// or not, and this job would fit into its cells together.
bool FakeCell::withinGuarantee(const Track &Job) const {
  std::vector<std::uint32_t> Cells;
  for (const WorkspaceGuarantee &Each : Given.Guarantees)
    if (Each.Workspace == Job.Plan->Info.Workspace)
      for (const GuaranteeShape &Shape : Each.Shapes)
        Cells.insert(Cells.end(), Shape.Count, Shape.Accelerators);
  for (const JobId &Id : Open) {
    const Track &Other = Jobs.at(Id);
    if (Other.Plan->Info.Workspace == Job.Plan->Info.Workspace &&
        !Other.Members.empty() && !embed(Cells, Other.Plan->Info))
      return false;
  }
  return embed(Cells, Job.Plan->Info);
}

void FakeCell::checkGuarantees() {
  const bool Packable = Policy.figures().UnpackableCells == 0 && Absent.empty();
  std::set<std::string> FirstOf;
  for (const JobId &Id : Open) {
    Track &Job = Jobs[Id];
    if (!Job.Members.empty() || Job.Plan->Never)
      continue;
    // Only one waiting job of a workspace can claim the same cells.
    const std::string Key = Job.Plan->Info.Workspace.str();
    const bool Claims = Packable && FirstOf.count(Key) == 0 &&
                        Job.Attempt == 0 && withinGuarantee(Job);
    if (Claims)
      FirstOf.insert(Key);
    if (!Claims || !Job.Eligible) {
      Job.Eligible = Claims;
      Job.EligibleSince = Now;
      continue;
    }
    const Milliseconds Target =
        Job.Plan->Info.Urgent ? UrgentTarget : ReclaimTarget;
    if (!Job.Violated && Now - Job.EligibleSince > Target) {
      Job.Violated = true;
      ++Violations;
    }
  }
}

} // namespace baobabcove::bench
