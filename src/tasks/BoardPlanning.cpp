/// \file
/// The part of the board that makes the planner's picture and carries out
/// its plan.

#include "base/Log.h"
#include "base/LogFields.h"
#include "tasks/TaskBoard.h"

#include <algorithm>
#include <cmath>

namespace baobabcove {

namespace {

/// An accelerator counts as this many cores when work is thrown away (the
/// users' prices).
constexpr double CoresPerAccelerator = 8;
/// A unit that waits longer than this share of its duration may run away from
/// its data, which takes longer by the remote penalty.
constexpr double FarPatience = 2;

/// A guaranteed job waits this long for room before others are stopped for it:
/// short tasks end all the time. With the stop, two writes to the store and
/// the start, which take 0.7 s, it stays far below the bound of 2.7 s.
constexpr Milliseconds ReclaimPatience{500};

/// Guaranteed jobs go before all others, in the order of their acceptance.
/// Unix times stay far below it.
constexpr double GuaranteedRank = -1e15;

/// What a finished job is worth to its callers: partly the same for each,
/// partly by its size against the mean of its queue (the users' pages).
constexpr double SmallestWorth = 0.3;
constexpr double LargestSize = 4;
/// A late job is worth about a fifth of one on time on the users' sheets.
constexpr double LateWorth = 0.2;
/// A job that can wait for longer than this before it is late (or, when it is
/// late already, before it is worth nothing) counts the less, the longer.
constexpr Milliseconds PatientSlack{2000};
/// A job that can wait for longer than this leaves some whole workers free:
/// urgent tasks that take a whole one could wait no longer than 2 s.
constexpr Milliseconds LongSlack{5000};
/// A job that has waited for this long with nothing running leaves none: it
/// must not stand still beside free room.
constexpr Milliseconds LongestHold{8000};
constexpr double WholeShareForUrgent = 0.16;
/// Beyond that only the worth of having run at all is left.
constexpr double HopelessWorth = 0.005;

/// Up to this multiple of its objective a job still counts as served.
constexpr double LateLimit = 3;

/// Cores that the room stands for.
double weight(const Room &Takes) {
  return double(Takes.MilliCores) / 1000 +
         CoresPerAccelerator * double(Takes.Accelerators);
}

log4cplus::Logger runLog() { return logOf("run"); }

std::string stepKey(const TaskName &Name) {
  return Name.Job.str() + "." + std::to_string(Name.Occurrence) + "." +
         std::to_string(Name.Step);
}

} // namespace

void TaskBoard::plan(const std::vector<wire::TaskReport> &Open,
                     const QueueConfig &Config, const BoardTime &Now) {
  PlanInput Input = picture(Open, Config, Now);
  if (Input.Units.empty())
    return;
  Input.Kept = std::move(Kept);
  TaskPlan Plan = planTasks(Input);
  Kept = std::move(Plan.Kept);
  apply(Plan, Input, Now);
}

PlanInput TaskBoard::picture(const std::vector<wire::TaskReport> &Open,
                             const QueueConfig &Config, const BoardTime &Now) {
  PlanInput Input;
  OpenWorkers = Open.size();
  std::map<WorkerLife, std::size_t> Position;
  for (const wire::TaskReport &Report : Open) {
    PlanWorker Worker;
    Worker.Life = WorkerLife(Report.worker());
    Worker.AgentLife = Report.agent_life();
    Worker.Service = ServiceName(Report.service());
    Worker.Rack = RackName(Report.rack());
    Worker.Labels.assign(Report.labels().begin(), Report.labels().end());
    Worker.Capacity = {Report.milli_cores(), Report.memory_mb(),
                       Report.accelerators()};
    Worker.Free = Worker.Capacity;
    Worker.Open = !Report.draining() &&
                  !Suspicion.isSuspected(NodeId(Report.node()), Now.Boot);
    Position[Worker.Life] = Input.Workers.size();
    Input.Workers.push_back(std::move(Worker));
  }
  const std::set<JobId> Guaranteed = guaranteedJobs(Config);
  for (auto &[Id, Job] : Jobs) {
    if (Job.EndedMs)
      continue;
    const bool Urgent = Guaranteed.count(Id) > 0;
    for (std::size_t At = 0; At < Job.size(); ++At) {
      const TaskState &Task = Job.task(At);
      const auto Where = Position.find(Task.Worker);
      if (Task.Phase != wire::TASK_PLACED || Where == Position.end())
        continue;
      const Room Takes = roomOf(Job.step(At));
      PlanWorker &Worker = Input.Workers[Where->second];
      Worker.Free -= Takes;
      ++Input.OnWorker[{stepKey(Job.name(At)), Where->second}];
      if (Task.StopWanted)
        Worker.Leaving += Takes;
      else if (Task.Seen && !Urgent && !Job.step(At).long_running()) {
        const double Ran = double((Now.Boot - Task.PlacedAt).count()) / 1000;
        const double Members =
            Job.step(At).gang() ? double(Job.step(At).count()) : 1.0;
        Input.Stoppable.push_back(
            {Where->second, Id, At, Takes,
             Job.step(At).gang() ? stepKey(Job.name(At)) : std::string(),
             (Job.step(At).checkpointing() ? 1.0 : Ran + 0.1) * Members *
                 weight(Takes)});
      }
    }
    if (!Job.isOver())
      addUnits(Job, Urgent, Now, Input);
  }
  return Input;
}

std::set<JobId> TaskBoard::guaranteedJobs(const QueueConfig &Config) const {
  std::map<std::string, std::vector<const TaskJob *>> ByWorkspace;
  for (const auto &[Id, Job] : Jobs)
    if (!Job.EndedMs && !Job.isOver() && Job.spec().priority() == 0)
      ByWorkspace[Job.spec().workspace()].push_back(&Job);
  std::set<JobId> Guaranteed;
  for (auto &[Workspace, Urgent] : ByWorkspace) {
    const auto Rule = Config.Workspaces.find(WorkspaceId(Workspace));
    if (Rule == Config.Workspaces.end())
      continue;
    std::sort(Urgent.begin(), Urgent.end(),
              [](const TaskJob *L, const TaskJob *R) {
                return L->spec().accepted_ms() < R->spec().accepted_ms();
              });
    std::int64_t Left = Rule->second.GuaranteedAccelerators;
    for (const TaskJob *Job : Urgent) {
      std::int64_t Need = 0;
      for (const wire::StepSpec &Step : Job->spec().steps())
        Need += Step.count() * Step.accelerators();
      if (Need > Left)
        continue;
      Left -= Need;
      Guaranteed.insert(Job->id());
    }
  }
  return Guaranteed;
}

JobOutlook TaskBoard::outlookOf(const TaskJob &Job, std::uint32_t Occurrence,
                                const BoardTime &Now) const {
  const wire::TaskJobSpec &Spec = Job.spec();
  // The longest chain of steps, whole and as far as it is not done yet.
  std::vector<double> Whole;
  std::vector<double> Left;
  JobOutlook Outlook;
  for (int S = 0; S < Spec.steps_size(); ++S) {
    const wire::StepSpec &Step = Spec.steps(S);
    const auto Took = double(
        Durations.expected(Spec.queue(), Milliseconds(Step.estimate_ms()))
            .count());
    double Before = 0;
    double LeftBefore = 0;
    for (std::uint32_t Earlier : Step.after()) {
      Before = std::max(Before, Whole[Earlier]);
      LeftBefore = std::max(LeftBefore, Left[Earlier]);
    }
    const bool Done = Job.isStepDone(Occurrence, static_cast<std::uint32_t>(S));
    Whole.push_back(Before + Took);
    Left.push_back(LeftBefore + (Done ? 0 : Took));
    const double TaskWork = Took / 1000 * weight(roomOf(Step));
    Outlook.Work += TaskWork * double(Step.count());
    const std::size_t First =
        Job.first(Occurrence, static_cast<std::uint32_t>(S));
    for (std::size_t At = First; At < First + Step.count(); ++At)
      if (Job.task(At).Phase == wire::TASK_WAITING)
        Outlook.WorkLeft += TaskWork;
  }
  const double Objective =
      Spec.stretch() * *std::max_element(Whole.begin(), Whole.end()) +
      double(Spec.target_latency_ms());
  const double Ends =
      double(Now.UnixMs - std::max(Spec.accepted_ms(), Job.dueMs(Occurrence))) +
      *std::max_element(Left.begin(), Left.end());
  const double Slack = (Ends <= Objective ? 1 : LateLimit) * Objective - Ends;
  Outlook.Slack = Milliseconds(static_cast<std::int64_t>(Slack));
  Outlook.Is = Ends <= Objective               ? JobOutlook::OnTime
               : Ends <= LateLimit * Objective ? JobOutlook::Late
                                               : JobOutlook::Hopeless;
  return Outlook;
}

double TaskBoard::rankOf(const TaskJob &Job, const JobOutlook &Outlook) const {
  const wire::TaskJobSpec &Spec = Job.spec();
  const auto Known = QueueWork.find(Spec.queue());
  const double Mean = Known == QueueWork.end() || Known->second.Jobs == 0
                          ? Outlook.Work
                          : Known->second.Sum / Known->second.Jobs;
  const double Size =
      std::min(Mean > 0 ? Outlook.Work / Mean : 1.0, LargestSize);
  const double Worth = (SmallestWorth + (1 - SmallestWorth) * Size) /
                       (1 + double(Spec.priority()));
  const double Share = Outlook.Is == JobOutlook::OnTime ? 1.0
                       : Outlook.Is == JobOutlook::Late ? LateWorth
                                                        : HopelessWorth;
  // What can wait without losing worth leaves its place to what cannot.
  const double Urgency = double(PatientSlack.count()) /
                         double(std::max(Outlook.Slack, PatientSlack).count());
  return -Worth * Share * Urgency / std::max(Outlook.WorkLeft, 1.0);
}

PlanUnit TaskBoard::unitOf(const TaskJob &Job, std::uint32_t Occurrence,
                           std::uint32_t Step, bool Guaranteed,
                           const BoardTime &Now) const {
  PlanUnit Unit;
  Unit.Job = Job.id();
  Unit.Step = &Job.spec().steps(static_cast<int>(Step));
  Unit.Service = ServiceName(Job.spec().service());
  Unit.StepKey = stepKey({Job.id(), Occurrence, Step, 0});
  Unit.Guaranteed = Guaranteed;
  const JobOutlook Outlook = outlookOf(Job, Occurrence, Now);
  Unit.Rank = Guaranteed ? GuaranteedRank + double(Job.spec().accepted_ms())
                         : rankOf(Job, Outlook);
  const auto Took = Durations.expected(Job.spec().queue(),
                                       Milliseconds(Unit.Step->estimate_ms()));
  const auto Waited =
      Now.UnixMs - std::max(Job.spec().accepted_ms(), Job.dueMs(Occurrence));
  Unit.MayStopOthers = Guaranteed && Waited >= ReclaimPatience.count();
  const bool HeldLong = Waited >= LongestHold.count() && !Job.hasPlacedTasks();
  if (Job.spec().priority() > 0 && Outlook.Is == JobOutlook::OnTime &&
      Outlook.Slack > LongSlack && !HeldLong)
    Unit.LeavesWhole = static_cast<std::size_t>(
        std::lround(WholeShareForUrgent * double(OpenWorkers)));
  Unit.MayRunFar = double(Waited) > FarPatience * double(Took.count());
  return Unit;
}

void TaskBoard::addUnits(TaskJob &Job, bool Guaranteed, const BoardTime &Now,
                         PlanInput &Into) {
  const auto MayStart = [&](std::size_t At) {
    if (Job.task(At).Phase != wire::TASK_WAITING)
      return false;
    const auto Paused = NotBefore.find(toText(Job.name(At)));
    return Paused == NotBefore.end() || Paused->second <= Now.Boot;
  };
  for (std::uint32_t K = 0; K < Job.occurrences(); ++K) {
    for (int S = 0; S < Job.spec().steps_size(); ++S) {
      const auto Step = static_cast<std::uint32_t>(S);
      const std::size_t First = Job.first(K, Step);
      const std::size_t Count = Job.spec().steps(S).count();
      if (Job.isStepDone(K, Step) || !Job.isStepReady(K, Step, Now.UnixMs))
        continue;
      PlanUnit Unit = unitOf(Job, K, Step, Guaranteed, Now);
      for (std::size_t At = First; At < First + Count; ++At)
        if (MayStart(At))
          Unit.Tasks.push_back(At);
      if (Job.spec().steps(S).gang()) {
        if (Unit.Tasks.size() == Count)
          Into.Units.push_back(std::move(Unit));
        continue;
      }
      for (std::size_t At : Unit.Tasks) {
        PlanUnit Single = Unit;
        Single.Tasks = {At};
        Into.Units.push_back(std::move(Single));
      }
    }
  }
}

void TaskBoard::apply(const TaskPlan &Plan, const PlanInput &Input,
                      const BoardTime &Now) {
  for (const PlannedStart &Start : Plan.Starts) {
    TaskJob &Job = Jobs.at(Start.Job);
    TaskState &Task = Job.task(Start.Task);
    // The members of a gang share the number of their run.
    std::uint64_t Run = 0;
    for (std::size_t Member : members({&Job, Start.Task}))
      if (Job.task(Member).Phase != wire::TASK_PLACED || Member == Start.Task)
        Run = std::max(Run, Job.task(Member).Run);
    const bool Joined = Job.step(Start.Task).gang() &&
                        std::any_of(Plan.Starts.begin(), Plan.Starts.end(),
                                    [&](const PlannedStart &Other) {
                                      return &Other < &Start &&
                                             Other.Job == Start.Job &&
                                             Job.step(Other.Task).gang() &&
                                             stepKey(Job.name(Other.Task)) ==
                                                 stepKey(Job.name(Start.Task));
                                    });
    if (Joined)
      Run = Job.task(members({&Job, Start.Task}).front()).Run;
    else
      ++Run;
    Task.Run = Run;
    Task.Phase = wire::TASK_PLACED;
    Task.Worker = Input.Workers[Start.Worker].Life;
    Task.PlacedAt = Now.Boot;
    Task.OrderedFrom = Input.Workers[Start.Worker].AgentLife;
    Task.Seen = false;
    Task.StopWanted = false;
    Job.Begun = true;
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
    LOG4CPLUS_INFO(runLog(), LogFields("run stopped for a guarantee")
                                 .add("task", toText(Job.name(Stop.Task)))
                                 .add("run", Job.task(Stop.Task).Run)
                                 .add("worker", Job.task(Stop.Task).Worker));
  }
}

} // namespace baobabcove
