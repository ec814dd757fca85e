/// \file
/// The part of JobTracker that keeps evacuated data centres free of new runs
/// and moves the runs that are there.

#include "base/Log.h"
#include "base/LogFields.h"
#include "tasks/coordination/JobTracker.h"

#include <algorithm>
#include <limits>

namespace baobabcove {

namespace {

/// How often runs to move are looked for; a move takes about a second.
constexpr Milliseconds MovePeriod{500};
/// Capacity is kept this long for a run that is being moved. Stopping and
/// starting take about a second, and 6 s if the agent is out of touch.
constexpr Milliseconds MoveTimeout{10000};
/// A run that is nearly done ends sooner where it is.
constexpr std::uint32_t NearlyDonePercent = 90;

log4cplus::Logger runLog() { return logOf("run"); }

} // namespace

void JobTracker::applyStartRules(const std::vector<wire::TaskReport> &Reports,
                                 const ClockReading &Now, PlanInput &Input) {
  std::vector<DataCentreName> Centres;
  Centres.reserve(Reports.size());
  for (const wire::TaskReport &Report : Reports) {
    Centres.emplace_back(Report.data_centre());
    if (!Report.rack().empty())
      RackCentres[RackName(Report.rack())].insert(Centres.back());
  }
  const std::vector<bool> Takes = Starts.takeStarts(Centres, Now.Boot);
  for (std::size_t W = 0; W < Input.Workers.size(); ++W)
    Input.Workers[W].AcceptsTasks = Input.Workers[W].AcceptsTasks && Takes[W];
  const bool IsFresh = Starts.isFresh(Now.Boot);
  if (IsFresh != WereStartsFresh)
    LOG4CPLUS_WARN(
        runLog(),
        LogFields(IsFresh ? "starts resumed"
                          : "starts suspended until the store "
                            "confirms the evacuations")
            .add("age_ms", (Now.Boot - Starts.known().ConfirmedAt).count()));
  WereStartsFresh = IsFresh;
}

bool JobTracker::isRackEvacuated(const RackName &Rack) const {
  const auto Known = RackCentres.find(Rack);
  return Known != RackCentres.end() &&
         std::all_of(Known->second.begin(), Known->second.end(),
                     [&](const DataCentreName &Centre) {
                       return Starts.isEvacuated(Centre);
                     });
}

void JobTracker::withdrawFromEvacuated(
    const std::vector<wire::TaskReport> &Reports) {
  RunsInEvacuated = 0;
  for (const wire::TaskReport &Report : Reports) {
    if (!Starts.isEvacuated(DataCentreName(Report.data_centre())))
      continue;
    // The report may be newer than the last one that was applied.
    std::set<std::pair<std::string, std::uint64_t>> Running;
    for (const wire::RunStatus &Run : Report.running())
      Running.insert({Run.task(), Run.run()});
    for (const TaskRef &At : placedOn(NodeId(Report.node()))) {
      const TaskState &Task = At.Job->task(At.Task);
      if (Task.Phase != wire::TASK_PLACED ||
          Task.Worker.str() != Report.worker())
        continue;
      ++RunsInEvacuated;
      if (Task.Listed || Task.StopRequested ||
          Running.count({toText(At.Job->name(At.Task)), Task.Run}))
        continue;
      stopMembers(At);
      ++WithdrawnStarts;
      LOG4CPLUS_INFO(runLog(), LogFields("start withdrawn")
                                   .add("task", toText(At.Job->name(At.Task)))
                                   .add("run", Task.Run)
                                   .add("worker", Task.Worker)
                                   .add("why", "data centre is evacuated"));
    }
  }
}

bool JobTracker::isMovable(const TaskJob &Job, std::size_t At) const {
  const wire::StepSpec &Step = Job.step(At);
  const std::size_t First = Job.firstOfUnit(At);
  const std::size_t Count = Step.gang() ? Step.count() : 1;
  for (std::size_t Member = First; Member < First + Count; ++Member) {
    const TaskState &Task = Job.task(Member);
    if (Task.Phase != wire::TASK_PLACED || !Task.Listed || Task.StopRequested)
      return false;
    // A long-running task loses no work, but it is down for a moment.
    if (!Step.long_running() &&
        (Task.Checkpoint.empty() || Task.Percent >= NearlyDonePercent))
      return false;
  }
  return true;
}

std::size_t JobTracker::downTasks(const TaskJob &Job, std::size_t At) {
  const TaskName Name = Job.name(At);
  const std::size_t First = Job.first(Name.Occurrence, Name.Step);
  std::size_t Down = 0;
  for (std::size_t T = First; T < First + Job.step(At).count(); ++T) {
    const TaskState &Task = Job.task(T);
    Down +=
        Task.Phase == wire::TASK_PLACED && Task.Listed && !Task.StopRequested
            ? 0
            : 1;
  }
  return Down;
}

std::vector<PlanUnit>
JobTracker::moveCandidates(const std::vector<wire::TaskReport> &Reports,
                           const QueueConfig &Config, const ClockReading &Now) {
  const std::set<JobId> Guaranteed = guaranteedJobs(Config);
  std::map<std::pair<JobId, std::size_t>, PlanUnit> UnitOfStep;
  std::set<std::pair<JobId, std::size_t>> Seen;
  std::map<std::pair<JobId, std::size_t>, std::size_t> Down;
  std::vector<PlanUnit> Candidates;
  for (const wire::TaskReport &Report : Reports) {
    if (!Starts.isEvacuated(DataCentreName(Report.data_centre())))
      continue;
    for (const TaskRef &At : placedOn(NodeId(Report.node()))) {
      TaskJob &Job = *At.Job;
      const std::size_t First = Job.firstOfUnit(At.Task);
      const wire::StepSpec &Step = Job.step(At.Task);
      if (Job.task(At.Task).Worker.str() != Report.worker() || Job.isOver() ||
          !isMovable(Job, At.Task) || !Seen.insert({Job.id(), First}).second)
        continue;
      const TaskName Name = Job.name(At.Task);
      const std::pair StepAt{Job.id(), Job.first(Name.Occurrence, Name.Step)};
      const std::size_t Count = Step.gang() ? Step.count() : 1;
      if (Step.long_running()) {
        const auto Known = Down.try_emplace(StepAt, 0);
        if (Known.second)
          Known.first->second = downTasks(Job, At.Task);
        if (Known.first->second + Count > Step.may_miss())
          continue;
        Known.first->second += Count;
      }
      auto Unit = UnitOfStep.find(StepAt);
      if (Unit == UnitOfStep.end())
        Unit =
            UnitOfStep
                .emplace(StepAt, makeUnit(Job, Name.Occurrence, Name.Step,
                                          Guaranteed.count(Job.id()) > 0, Now))
                .first;
      PlanUnit Candidate = Unit->second;
      for (std::size_t Member = First; Member < First + Count; ++Member)
        Candidate.Tasks.push_back(Member);
      avoidFaultyNodes(Candidate, Job, Now);
      if (!Candidate.Isolated)
        Candidates.push_back(std::move(Candidate));
    }
  }
  return Candidates;
}

void JobTracker::moveEvacuatedRuns(const std::vector<wire::TaskReport> &Reports,
                                   const PlanInput &Input, const TaskPlan &Plan,
                                   const QueueConfig &Config,
                                   const ClockReading &Now) {
  if (Starts.known().Active.empty() || Now.Boot - MovesPlannedAt < MovePeriod)
    return;
  MovesPlannedAt = Now.Boot;
  std::size_t Moving = 0;
  for (const auto &[Unit, Move] : Moves)
    Moving += Move.Targets.size();
  if (Moving >= MaxMovesAtOnce)
    return;
  for (PlannedMove &Move :
       planMoves(Input, Plan, moveCandidates(Reports, Config, Now),
                 MaxMovesAtOnce - Moving)) {
    TaskJob &Job = Jobs.at(Move.Job);
    const std::size_t First = Move.Tasks.front();
    for (std::size_t I = 0; I < Move.Tasks.size(); ++I)
      LOG4CPLUS_INFO(runLog(),
                     LogFields("run moved out of an evacuated data centre")
                         .add("task", toText(Job.name(Move.Tasks[I])))
                         .add("run", Job.task(Move.Tasks[I]).Run)
                         .add("worker", Job.task(Move.Tasks[I]).Worker)
                         .add("percent", Job.task(Move.Tasks[I]).Percent)
                         .add("target", Move.Targets[I]));
    for (std::size_t Task : Move.Tasks)
      Job.task(Task).StopRequested = true;
    MovedRuns += Move.Tasks.size();
    Moves[{Move.Job, First}] = {std::move(Move.Targets), Now.Boot};
  }
}

void JobTracker::prepareMoves(const ClockReading &Now, PlanInput &Input) {
  std::map<WorkerIncarnation, std::size_t> Position;
  for (std::size_t W = 0; !Moves.empty() && W < Input.Workers.size(); ++W)
    Position[Input.Workers[W].Incarnation] = W;
  for (auto Next = Moves.begin(); Next != Moves.end();) {
    const auto Move = Next++;
    const auto &[Id, First] = Move->first;
    const auto Job = Jobs.find(Id);
    const std::vector<WorkerIncarnation> &Targets = Move->second.Targets;
    bool IsGoing = false;
    // An ended job has no tasks any more.
    const bool HasTasks = Job != Jobs.end() && Job->second.size() > 0;
    for (std::size_t I = 0; HasTasks && I < Targets.size(); ++I) {
      const TaskState &Task = Job->second.task(First + I);
      IsGoing = IsGoing || Task.Phase == wire::TASK_WAITING ||
                (Task.Phase == wire::TASK_PLACED && Task.StopRequested);
    }
    if (!IsGoing || Job->second.isOver() ||
        Now.Boot - Move->second.Since > MoveTimeout) {
      Moves.erase(Move);
      continue;
    }
    const auto Unit = std::find_if(
        Input.Units.begin(), Input.Units.end(),
        [&, Id = Id, First = First](const PlanUnit &Waiting) {
          return Waiting.Job == Id && Waiting.Tasks.front() == First;
        });
    if (Unit != Input.Units.end()) {
      Unit->Rank = std::numeric_limits<double>::lowest();
      Unit->KeepFullyFree = 0;
      Input.Reservations[Move->first] = Targets;
      continue;
    }
    for (const WorkerIncarnation &Target : Targets)
      if (const auto W = Position.find(Target); W != Position.end())
        Input.Workers[W->second].Free -= resourcesOf(Job->second.step(First));
  }
}

} // namespace baobabcove
