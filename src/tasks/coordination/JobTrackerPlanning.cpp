/// \file
/// The part of JobTracker that builds the planner's input and applies its plan.

#include "base/Log.h"
#include "base/LogFields.h"
#include "tasks/coordination/JobTracker.h"

#include <algorithm>
#include <cmath>

namespace baobabcove {

namespace {

/// Cores that one accelerator is equivalent to when lost work is valued, by the
/// users' price list.
constexpr double CoresPerAccelerator = 8;
/// A unit of a job with no task at work that has waited for longer may run away
/// from its data while most of the cell is free. The users' limit on such a
/// wait is 3 s; the writes to the store and the start take 0.5 s of it.
constexpr Milliseconds MaxIdleWait{2000};
/// The workers of the cell are known this long after the first plan of a term:
/// agents call at least once a second.
constexpr Milliseconds CellKnownAfter{1500};

/// A guaranteed job waits this long before runs are preempted for it, because
/// short tasks end all the time. The stop, two writes to the store and the
/// start take 0.7 s, so the total stays well below the bound of 2.7 s.
constexpr Milliseconds ReclaimDelay{500};
/// It waits until then if runs that are expected to end make place for it; 1.2
/// s of the bound is left for a preemption if they do not.
constexpr Milliseconds MaxWaitForEnds{1500};

/// Rank base of guaranteed jobs, which precede all others in the order of their
/// acceptance; Unix times in milliseconds are far smaller than its magnitude.
constexpr double GuaranteedRank = -1e15;

/// The value of a completed job to its owner: a fixed share, and a share that
/// grows with its size relative to the mean of its queue, as the users define
/// it.
constexpr double MinValueShare = 0.3;
constexpr double MaxRelativeSize = 4;
/// Value of a late job relative to one on time: about a fifth by the users'
/// definition.
constexpr double LateValueShare = 0.2;
/// The urgency of a job decreases with its slack beyond this value. The slack
/// ends when the job becomes late or, if it is late already, when it loses
/// nearly all of its value.
constexpr Milliseconds UrgentSlack{2000};
/// A job with more slack than this leaves some workers fully free for urgent
/// tasks: those that need a whole worker can wait for 2 s at most.
constexpr Milliseconds HoldbackMinSlack{5000};
/// A job that has waited for this long with no task at work ignores that
/// reserve, so that it does not starve while resources are free.
constexpr Milliseconds MaxHoldback{8000};
constexpr double FullyFreeShareForUrgent = 0.16;
/// Value of a job beyond the late limit, for having completed at all.
constexpr double TooLateValueShare = 0.005;

/// A job counts as late, but still of use, up to this multiple of its
/// objective.
constexpr double LateObjectiveFactor = 3;

/// Number of tasks of one step and kind that are planned in a round, which
/// bounds its memory and length. Rounds follow each other within 100 ms, so
/// that 8,000 tasks are placed in 4 s.
constexpr std::size_t MaxTasksPerStep = 256;

/// Returns the resources as an equivalent number of cores.
double coreEquivalents(const Resources &Usage) {
  return double(Usage.MilliCores) / 1000 +
         CoresPerAccelerator * double(Usage.Accelerators);
}

log4cplus::Logger runLog() { return logOf("run"); }

} // namespace

void JobTracker::plan(const std::vector<wire::TaskReport> &Reports,
                      const QueueConfig &Config, const ClockReading &Now) {
  for (auto Retry = RetryNotBefore.begin(); Retry != RetryNotBefore.end();)
    Retry = Retry->second <= Now.Boot ? RetryNotBefore.erase(Retry)
                                      : std::next(Retry);
  Forecasts.clear();
  beginWaits(Now);
  withdrawFromEvacuated(Reports);
  PlanInput Input = makePlanInput(Reports, Config, Now);
  applyStartRules(Reports, Now, Input);
  TaskPlan Plan;
  if (!Input.Units.empty()) {
    Input.Reservations = std::move(Reservations);
    prepareMoves(Now, Input);
    Plan = planTasks(Input);
    Reservations = Plan.Reservations;
    applyPlan(Plan, Input, Now);
  } else
    prepareMoves(Now, Input);
  explainWaits(Plan);
  moveEvacuatedRuns(Reports, Input, Plan, Config, Now);
}

PlanInput
JobTracker::makePlanInput(const std::vector<wire::TaskReport> &Reports,
                          const QueueConfig &Config, const ClockReading &Now) {
  PlanInput Input;
  ReachableWorkers = Reports.size();
  if (FirstPlanAt == BootInstant{})
    FirstPlanAt = Now.Boot;
  Input.IsCellKnown = Now.Boot - FirstPlanAt >= CellKnownAfter;
  selectIsolatedUnits();
  std::map<WorkerIncarnation, std::size_t> Position;
  for (const wire::TaskReport &Report : Reports) {
    PlanWorker Worker;
    Worker.Incarnation = WorkerIncarnation(Report.worker());
    Worker.AgentIncarnation = Report.agent_life();
    Worker.Service = ServiceName(Report.service());
    Worker.Rack = RackName(Report.rack());
    Worker.Labels.assign(Report.labels().begin(), Report.labels().end());
    Worker.Capacity = capacityOf(Report);
    Worker.Free = Worker.Capacity;
    Worker.Speed = RunTimes.placementSpeed(NodeId(Report.node()));
    addUnplacedRuns(Report, Worker);
    Cold.describe(Report, Config, Now.Boot, Worker);
    Worker.IsQuarantined =
        !Report.draining() &&
        Quarantine.isQuarantined(NodeId(Report.node()), Now.Boot);
    Worker.AcceptsTasks = !Report.draining() && !Worker.IsQuarantined;
    Position[Worker.Incarnation] = Input.Workers.size();
    Input.Workers.push_back(std::move(Worker));
  }
  const std::set<JobId> Guaranteed = guaranteedJobs(Config);
  for (auto &[Id, Job] : Jobs) {
    if (Job.EndedMs)
      continue;
    const bool IsGuaranteed = Guaranteed.count(Id) > 0;
    for (std::size_t At = 0; At < Job.size(); ++At) {
      const TaskState &Task = Job.task(At);
      const auto WorkerIndex = Position.find(Task.Worker);
      if (Task.Phase != wire::TASK_PLACED || WorkerIndex == Position.end())
        continue;
      const Resources Usage = resourcesOf(Job.step(At));
      PlanWorker &Worker = Input.Workers[WorkerIndex->second];
      Worker.Free -= Usage;
      ++Worker.Runs;
      Worker.HasRunOnProbation |= Task.seenAlive() < Probation;
      Worker.HasSuspect |= isIsolated({&Job, At});
      ++Input.OnWorker[{stepKey(Job.name(At)), WorkerIndex->second}];
      if (Task.StopRequested)
        Worker.Releasing += Usage;
      else if (Task.Listed) {
        const wire::StepSpec &Step = Job.step(At);
        const std::size_t Preemptible = Input.Preemptible.size();
        if (!IsGuaranteed)
          Input.Preemptible.push_back(
              {WorkerIndex->second, Id, At, Usage,
               Step.gang() ? stepKey(Job.name(At)) : std::string(),
               RunTimes.secondsLostByStop(Job, At, Now.Boot) *
                   coreEquivalents(Usage),
               Step.long_running() ? stepKey(Job.name(At)) : std::string(),
               Step.gang() ? Step.count() : 1,
               Task.PreemptedRun && Task.Run == Task.PreemptedRun + 1});
        if (const auto In = RunTimes.timeToEnd(Job, At, Now.Boot))
          Input.Ending.push_back(
              {WorkerIndex->second, Usage, *In,
               IsGuaranteed ? std::nullopt : std::make_optional(Preemptible)});
      }
    }
    addMayMiss(Job, Input);
    if (!Job.isOver())
      addUnits(Job, IsGuaranteed, Now, Input);
  }
  return Input;
}

void JobTracker::addUnplacedRuns(const wire::TaskReport &Report,
                                 PlanWorker &Worker) const {
  for (const wire::RunStatus &Run : Report.running()) {
    const auto Name = parseTaskName(Run.task());
    const auto Job = Name ? Jobs.find(Name->Job) : Jobs.end();
    const auto At =
        Job == Jobs.end() ? std::nullopt : Job->second.position(*Name);
    if (!At)
      continue;
    const TaskState &Task = Job->second.task(*At);
    if (Task.Phase == wire::TASK_PLACED && Task.Run == Run.run() &&
        Task.Worker == Worker.Incarnation)
      continue;
    const Resources Usage = resourcesOf(Job->second.step(*At));
    Worker.Free -= Usage;
    Worker.Releasing += Usage;
    ++Worker.Runs;
  }
}

void JobTracker::withdrawStarts(const wire::TaskReport &Report) {
  Resources Free = capacityOf(Report);
  TaskRefs Unlisted;
  for (const TaskRef &At : placedOn(NodeId(Report.node()))) {
    const TaskState &Task = At.Job->task(At.Task);
    if (Task.Phase != wire::TASK_PLACED || Task.Worker.str() != Report.worker())
      continue;
    Free -= resourcesOf(At.Job->step(At.Task));
    if (!Task.Listed && !Task.StopRequested)
      Unlisted.push_back(At);
  }
  for (const TaskRef &At : Unlisted) {
    if (!Free.isNegative())
      return;
    Free += resourcesOf(At.Job->step(At.Task));
    stopMembers(At);
    LOG4CPLUS_INFO(runLog(), LogFields("start withdrawn")
                                 .add("task", toText(At.Job->name(At.Task)))
                                 .add("run", At.Job->task(At.Task).Run)
                                 .add("worker", Report.worker())
                                 .add("why", "worker's capacity has shrunk"));
  }
}

std::set<JobId> JobTracker::guaranteedJobs(const QueueConfig &Config) const {
  std::map<std::string, std::vector<const TaskJob *>> ByWorkspace;
  for (const auto &[Id, Job] : Jobs)
    if (!Job.EndedMs && !Job.isOver() && Job.spec().priority() == 0)
      ByWorkspace[Job.spec().workspace()].push_back(&Job);
  std::set<JobId> Guaranteed;
  for (auto &[Workspace, UrgentJobs] : ByWorkspace) {
    const auto Rule = Config.Workspaces.find(WorkspaceId(Workspace));
    if (Rule == Config.Workspaces.end())
      continue;
    std::sort(UrgentJobs.begin(), UrgentJobs.end(),
              [](const TaskJob *L, const TaskJob *R) {
                return L->spec().accepted_ms() < R->spec().accepted_ms();
              });
    std::int64_t Remaining = Rule->second.GuaranteedAccelerators;
    for (const TaskJob *Job : UrgentJobs) {
      std::int64_t Need = 0;
      for (const wire::StepSpec &Step : Job->spec().steps())
        Need += Step.count() * Step.accelerators();
      if (Need > Remaining)
        continue;
      Remaining -= Need;
      Guaranteed.insert(Job->id());
    }
  }
  return Guaranteed;
}

JobForecast JobTracker::forecastOf(const TaskJob &Job, std::uint32_t Occurrence,
                                   const ClockReading &Now) const {
  const wire::TaskJobSpec &Spec = Job.spec();
  // Duration of the longest chain of steps up to each populated step, in total
  // and without the steps that are done.
  std::vector<double> ChainMs;
  std::vector<double> RemainingChainMs;
  double LongestMs = 0;
  double LongestRemainingMs = 0;
  JobForecast Forecast;
  for (const std::uint32_t Number : Job.populatedSteps()) {
    const wire::StepSpec &Step = Spec.steps(static_cast<int>(Number));
    const StepTimes Times = RunTimes.timesOf(Spec, Step);
    Forecast.TaskDurations.push_back(Times.Task);
    double EarlierMs = 0;
    double RemainingEarlierMs = 0;
    for (const std::uint32_t Earlier : Step.after())
      if (const auto Index = Job.populatedIndex(Earlier)) {
        EarlierMs = std::max(EarlierMs, ChainMs[*Index]);
        RemainingEarlierMs =
            std::max(RemainingEarlierMs, RemainingChainMs[*Index]);
      }
    const std::size_t First = Job.first(Occurrence, Number);
    const double TaskWork =
        double(Times.Task.count()) / 1000 * coreEquivalents(resourcesOf(Step));
    Forecast.Work += TaskWork * double(Step.count());
    bool IsDone = true;
    for (std::size_t At = First; At < First + Step.count(); ++At) {
      IsDone = IsDone && Job.task(At).Phase == wire::TASK_DONE;
      if (Job.task(At).Phase == wire::TASK_WAITING)
        Forecast.RemainingWork += TaskWork;
    }
    const Milliseconds Remaining =
        IsDone ? Milliseconds(0)
               : RunTimes.remainingOfStep(Job, First, Times, Now.Boot);
    ChainMs.push_back(EarlierMs + double(Times.Longest.count()));
    RemainingChainMs.push_back(RemainingEarlierMs + double(Remaining.count()));
    LongestMs = std::max(LongestMs, ChainMs.back());
    LongestRemainingMs = std::max(LongestRemainingMs, RemainingChainMs.back());
  }
  const double ObjectiveMs =
      Spec.stretch() * LongestMs + double(Spec.target_latency_ms());
  const double LatencyMs =
      double(Now.UnixMs - std::max(Spec.accepted_ms(), Job.dueMs(Occurrence))) +
      LongestRemainingMs;
  const double SlackMs =
      (LatencyMs <= ObjectiveMs ? 1 : LateObjectiveFactor) * ObjectiveMs -
      LatencyMs;
  Forecast.Slack = Milliseconds(static_cast<std::int64_t>(SlackMs));
  Forecast.Completion = LatencyMs <= ObjectiveMs ? JobForecast::OnTime
                        : LatencyMs <= LateObjectiveFactor * ObjectiveMs
                            ? JobForecast::Late
                            : JobForecast::TooLate;
  return Forecast;
}

double JobTracker::rankOf(const TaskJob &Job,
                          const JobForecast &Forecast) const {
  const wire::TaskJobSpec &Spec = Job.spec();
  const auto Known = QueueWork.find(Spec.queue());
  const double Mean = Known == QueueWork.end() || Known->second.Jobs == 0
                          ? Forecast.Work
                          : Known->second.Sum / Known->second.Jobs;
  const double Size =
      std::min(Mean > 0 ? Forecast.Work / Mean : 1.0, MaxRelativeSize);
  const double Value = (MinValueShare + (1 - MinValueShare) * Size) /
                       (1 + double(Spec.priority()));
  const double ValueShare = Forecast.Completion == JobForecast::OnTime ? 1.0
                            : Forecast.Completion == JobForecast::Late
                                ? LateValueShare
                                : TooLateValueShare;
  // A job that loses no value by waiting yields to one that does.
  const double Urgency = double(UrgentSlack.count()) /
                         double(std::max(Forecast.Slack, UrgentSlack).count());
  return -Value * ValueShare * Urgency / std::max(Forecast.RemainingWork, 1.0);
}

PlanUnit JobTracker::makeUnit(const TaskJob &Job, std::uint32_t Occurrence,
                              std::uint32_t Step, bool Guaranteed,
                              const ClockReading &Now) {
  PlanUnit Unit;
  Unit.Job = Job.id();
  Unit.Step = &Job.spec().steps(static_cast<int>(Step));
  Unit.Service = ServiceName(Job.spec().service());
  Unit.StepKey = stepKey({Job.id(), Occurrence, Step, 0});
  Unit.Guaranteed = Guaranteed;
  Unit.Urgent = Job.spec().priority() == 0;
  // The forecast is the same for all steps.
  const auto [Known, IsNew] =
      Forecasts.try_emplace({Unit.Job, Occurrence}, JobForecast());
  if (IsNew)
    Known->second = forecastOf(Job, Occurrence, Now);
  const JobForecast &Forecast = Known->second;
  Unit.Rank = Guaranteed ? GuaranteedRank + double(Job.spec().accepted_ms())
                         : rankOf(Job, Forecast);
  const Milliseconds Duration =
      Forecast.TaskDurations[*Job.populatedIndex(Step)];
  const auto WaitedMs =
      Now.UnixMs - std::max(Job.spec().accepted_ms(), Job.dueMs(Occurrence));
  Unit.MayPreempt = Guaranteed && WaitedMs >= ReclaimDelay.count();
  Unit.MayWait = Milliseconds(MaxWaitForEnds.count() - WaitedMs);
  const bool HeldBackTooLong =
      WaitedMs >= MaxHoldback.count() &&
      (!Job.hasTasksAtWork(Now.Boot) || Unit.Step->long_running());
  if (Job.spec().priority() > 0 && Forecast.Completion == JobForecast::OnTime &&
      Forecast.Slack > HoldbackMinSlack && !HeldBackTooLong)
    Unit.KeepFullyFree = static_cast<std::size_t>(
        std::lround(FullyFreeShareForUrgent * double(ReachableWorkers)));
  Unit.RemoteCost = RunTimes.remoteCost(Duration);
  Unit.MayRunRemote = WaitedMs > Unit.RemoteCost.count() ||
                      isRackEvacuated(RackName(Unit.Step->data_rack()));
  const auto Waiting = WaitingSteps.find(Unit.StepKey);
  Unit.IsIdleForLong = Waiting != WaitingSteps.end() &&
                       Now.Boot - Waiting->second >= MaxIdleWait &&
                       !Job.hasTasksAtWork(Now.Boot);
  return Unit;
}

bool JobTracker::mayStart(const TaskJob &Job, std::size_t At,
                          const ClockReading &Now) const {
  if (Job.task(At).Phase != wire::TASK_WAITING)
    return false;
  if (RetryNotBefore.empty())
    return true;
  const auto Retry = RetryNotBefore.find(toText(Job.name(At)));
  return Retry == RetryNotBefore.end() || Retry->second <= Now.Boot;
}

void JobTracker::addUnits(TaskJob &Job, bool Guaranteed,
                          const ClockReading &Now, PlanInput &Input) {
  const StepProgress Progress(Job);
  for (std::uint32_t Occurrence = 0; Occurrence < Job.occurrences();
       ++Occurrence) {
    if (Now.UnixMs < Job.dueMs(Occurrence))
      continue;
    for (const std::uint32_t Step : Job.populatedSteps()) {
      if (Progress.isDone(Occurrence, Step) ||
          !Progress.isReady(Occurrence, Step, Now.UnixMs))
        continue;
      const std::size_t First = Job.first(Occurrence, Step);
      PlanUnit Unit = makeUnit(Job, Occurrence, Step, Guaranteed, Now);
      const wire::StepSpec &Declared = *Unit.Step;
      const std::size_t FirstUnit = Input.Units.size();
      if (Declared.gang())
        addGang(Job, First, std::move(Unit), Now, Input);
      else
        addSingleTasks(Job, First, Unit, Now, Input);
      if (Job.hasUnbegunTask(First, Declared.count()))
        noteWaitingStep(Job, First, Now, FirstUnit, Input);
    }
  }
}

void JobTracker::addGang(TaskJob &Job, std::size_t First, PlanUnit Unit,
                         const ClockReading &Now, PlanInput &Input) {
  for (std::size_t At = First; At < First + Unit.Step->count(); ++At) {
    if (!mayStart(Job, At, Now))
      return;
    Unit.Tasks.push_back(At);
  }
  preferRestart(Unit, Job);
  avoidFaultyNodes(Unit, Job, Now);
  Input.Units.push_back(std::move(Unit));
}

void JobTracker::addSingleTasks(TaskJob &Job, std::size_t First,
                                const PlanUnit &Common, const ClockReading &Now,
                                PlanInput &Input) {
  // Tasks that were placed before and tasks under suspicion have a bound of
  // their own, so that others of the step, which may not fit, cannot hold them
  // back.
  std::map<std::pair<bool, bool>, std::size_t> Planned;
  for (std::size_t At = First; At < First + Common.Step->count(); ++At) {
    if (!mayStart(Job, At, Now))
      continue;
    std::size_t &Count =
        Planned[{Job.task(At).Run > 0, crashesOf({&Job, At}).isSuspect()}];
    if (Count >= MaxTasksPerStep && !isIsolated({&Job, At}))
      continue;
    ++Count;
    PlanUnit &Single = Input.Units.emplace_back(Common);
    Single.Tasks = {At};
    preferRestart(Single, Job);
    avoidFaultyNodes(Single, Job, Now);
  }
}

void JobTracker::applyPlan(const TaskPlan &Plan, const PlanInput &Input,
                           const ClockReading &Now) {
  for (const PlannedStart &Start : Plan.Starts) {
    TaskJob &Job = Jobs.at(Start.Job);
    TaskState &Task = Job.task(Start.Task);
    // All members of a gang have the same run number.
    std::uint64_t Run = 0;
    for (std::size_t Member : gangMembers({&Job, Start.Task}))
      if (Job.task(Member).Phase != wire::TASK_PLACED || Member == Start.Task)
        Run = std::max(Run, Job.task(Member).Run);
    const bool GangHasRun =
        Job.step(Start.Task).gang() &&
        std::any_of(Plan.Starts.begin(), Plan.Starts.end(),
                    [&](const PlannedStart &Other) {
                      return &Other < &Start && Other.Job == Start.Job &&
                             Job.step(Other.Task).gang() &&
                             stepKey(Job.name(Other.Task)) ==
                                 stepKey(Job.name(Start.Task));
                    });
    if (GangHasRun)
      Run = Job.task(gangMembers({&Job, Start.Task}).front()).Run;
    else
      ++Run;
    Task.Run = Run;
    Task.Phase = wire::TASK_PLACED;
    IsPlacedIndexStale = true;
    Task.Worker = Input.Workers[Start.Worker].Incarnation;
    if (Input.Workers[Start.Worker].IsCold)
      Cold.noteStart(Task.Worker, Now.Boot);
    Task.PlacedAt = Now.Boot;
    Task.OrderedByAgent = Input.Workers[Start.Worker].AgentIncarnation;
    Task.Listed = false;
    Task.Pace = RunPace(!Task.Checkpoint.empty());
    Task.PaceUsedAt = 0;
    Task.CheckpointAt = {};
    Task.StopRequested = false;
    Task.Lost = false;
    Dirty.insert(Start.Job);
    LOG4CPLUS_INFO(
        runLog(), LogFields("run placed")
                      .add("task", toText(Job.name(Start.Task)))
                      .add("run", Task.Run)
                      .add("worker", Task.Worker)
                      .add("queue", Job.spec().queue())
                      .add("waited_ms", Now.UnixMs - Job.spec().accepted_ms()));
  }
  for (const PlannedStop &Stop : Plan.Stops) {
    TaskJob &Job = Jobs.at(Stop.Job);
    stopMembers({&Job, Stop.Task});
    for (std::size_t Member : gangMembers({&Job, Stop.Task}))
      Job.task(Member).PreemptedRun = Job.task(Member).Run;
    LOG4CPLUS_INFO(runLog(), LogFields("run preempted for a guaranteed job")
                                 .add("task", toText(Job.name(Stop.Task)))
                                 .add("unit", Stop.For)
                                 .add("loss_core_s", Stop.Loss)
                                 .add("run", Job.task(Stop.Task).Run)
                                 .add("worker", Job.task(Stop.Task).Worker));
    notePreempted({&Job, Stop.Task});
  }
}

} // namespace baobabcove
