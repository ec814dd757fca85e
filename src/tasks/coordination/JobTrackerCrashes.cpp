/// \file
/// The part of JobTracker that handles the ends of worker incarnations.

#include "base/Log.h"
#include "base/LogFields.h"
#include "tasks/coordination/JobTracker.h"

#include <algorithm>

namespace baobabcove {

namespace {

/// A unit under suspicion waits for a worker of its own for this long.
constexpr Milliseconds MaxIsolationWait{1500};
/// Isolated units take up at most one in this many workers, because a crash of
/// several workers puts most units of the cell under suspicion.
constexpr std::size_t WorkersPerIsolatedOne = 3;
constexpr std::size_t MinIsolatedWorkers = 2;
/// It avoids the nodes of earlier crashes for this long. Then it returns there,
/// because the other workers may stay full.
constexpr Milliseconds MaxAvoidance{3000};
/// A long-running task is restarted within 3 s of capacity becoming available,
/// which may be on the node of the crash.
constexpr Milliseconds MaxLongRunningAvoidance{1500};

log4cplus::Logger runLog() { return logOf("run"); }

std::string joined(const std::vector<NodeId> &Nodes) {
  std::string Text;
  for (const NodeId &Node : Nodes)
    Text += (Text.empty() ? "" : ",") + Node.str();
  return Text;
}

std::string outcomeName(const CrashAttribution &Attribution) {
  if (Attribution.Units.empty())
    return "unexplained";
  switch (Attribution.Certainty) {
  case Blame::Certain:
    return "certain";
  case Blame::Alone:
    return "alone";
  case Blame::Shared:
    break;
  }
  return "shared";
}

/// The runs that an ended incarnation had or may have started, as far as its
/// agent knows.
class LostRuns {
public:
  LostRuns(const WorkerIncarnation &Incarnation, const wire::TaskReport &Report)
      : Known(Report.lost_worker() == Incarnation.str()) {
    for (const wire::RunKey &Run : Report.lost_runs())
      Runs.insert({Run.task(), Run.run()});
  }

  bool areKnown() const { return Known; }
  bool contain(const std::string &Task, std::uint64_t Run) const {
    return Known && Runs.count({Task, Run}) > 0;
  }

private:
  bool Known;
  std::set<std::pair<std::string, std::uint64_t>> Runs;
};

} // namespace

void JobTracker::adoptIncarnation(const wire::TaskReport &Report,
                                  const ClockReading &Now) {
  const NodeId Node(Report.node());
  const WorkerIncarnation Incarnation(Report.worker());
  std::map<WorkerIncarnation, TaskRefs> Ended;
  for (const TaskRef &At : placedOn(Node)) {
    const TaskState &Task = At.Job->task(At.Task);
    if (Task.Phase == wire::TASK_PLACED && Task.Worker != Incarnation)
      Ended[Task.Worker].push_back(At);
  }
  for (const auto &[Earlier, Runs] : Ended) {
    const bool HasLeft =
        Earlier.str() == Report.left_worker() ||
        (DrainingWorkers.count(Node) && DrainingWorkers[Node] == Earlier);
    if (!isDeparted(Earlier) && !HasLeft)
      recordCrash(Earlier, Runs, Report, Now);
    for (const TaskRef &At : Runs) {
      TaskState &Task = At.Job->task(At.Task);
      // The incarnation that held the run has ended. A start that is still in
      // flight could reach the new incarnation, so the run is barred there
      // first.
      LOG4CPLUS_INFO(runLog(), LogFields("worker restarted")
                                   .add("task", toText(At.Job->name(At.Task)))
                                   .add("run", Task.Run)
                                   .add("was", Task.Worker)
                                   .add("now", Incarnation));
      // An agent that was restarted does not know the starts before it.
      if (!Task.Listed)
        GivenUp.emplace_back(toText(At.Job->name(At.Task)), Task.Run);
      Task.Worker = Incarnation;
      Task.Listed = false;
      Task.StopRequested = true;
      Task.Lost = true;
      Dirty.insert(At.Job->id());
    }
  }
  if (Report.draining() && !isDeparted(Incarnation))
    DrainingWorkers[Node] = Incarnation;
}

void JobTracker::recordCrash(const WorkerIncarnation &Incarnation,
                             const TaskRefs &Runs,
                             const wire::TaskReport &Report,
                             const ClockReading &Now) {
  const LostRuns Lost(Incarnation, Report);
  TaskRefs Units;
  std::vector<CrashCandidate> Candidates;
  for (const TaskRef &At : Runs) {
    const TaskState &Task = At.Job->task(At.Task);
    const bool IsAmongLost =
        Lost.contain(toText(At.Job->name(At.Task)), Task.Run);
    // The agent also names runs whose start was sent but not answered, and does
    // not name those that have ended.
    const bool HasStarted = Task.Listed && (IsAmongLost || !Lost.areKnown());
    // An earlier agent may have sent starts that this one does not know.
    const bool MayHaveStarted = IsAmongLost || !Lost.areKnown() ||
                                (!Report.lost_runs_complete() &&
                                 Task.OrderedByAgent != Report.agent_life());
    if (Task.Lost || !MayHaveStarted)
      continue;
    const std::size_t First = At.Job->firstOfUnit(At.Task);
    const auto Known =
        std::find_if(Units.begin(), Units.end(), [&](const TaskRef &Unit) {
          return Unit.Job == At.Job && Unit.Task == First;
        });
    if (Known == Units.end()) {
      Candidates.push_back({Units.size(), Task.seenAlive(), HasStarted});
      Units.push_back({At.Job, First});
      continue;
    }
    CrashCandidate &Unit =
        Candidates[static_cast<std::size_t>(Known - Units.begin())];
    Unit.SeenAlive = std::min(Unit.SeenAlive, Task.seenAlive());
    Unit.HasStarted = Unit.HasStarted || HasStarted;
  }
  const CrashAttribution Attribution = attributeCrash(Candidates);
  const std::string Outcome = outcomeName(Attribution);
  LOG4CPLUS_WARN(logOf("worker"), LogFields("worker crashed")
                                      .add("worker", Incarnation)
                                      .add("runs", Runs.size())
                                      .add("candidates", Units.size())
                                      .add("blamed", Attribution.Units.size())
                                      .add("outcome", Outcome));
  for (std::size_t Index : Attribution.Units) {
    const TaskRef Unit = Units[Index];
    CrashHistory &Crashes = crashesOf(Unit);
    const std::uint64_t Run = Unit.Job->task(Unit.Task).Run;
    if (!Crashes.record(Attribution.Certainty, nodeOf(Incarnation), Run))
      continue;
    Dirty.insert(Unit.Job->id());
    LOG4CPLUS_WARN(runLog(), LogFields("task under suspicion")
                                 .add("task", toText(Unit.Job->name(Unit.Task)))
                                 .add("run", Run)
                                 .add("worker", Incarnation)
                                 .add("outcome", Outcome)
                                 .add("crashes", Crashes.crashes()));
    // A long-running task is restarted however it ends.
    if (Crashes.provesUnitDeadly() && !Unit.Job->isOver() &&
        !Unit.Job->step(Unit.Task).long_running())
      giveUp(Unit, Now);
  }
}

void JobTracker::giveUp(TaskRef Unit, const ClockReading &Now) {
  TaskJob &Job = *Unit.Job;
  const CrashHistory &Crashes = Job.task(Unit.Task).Crashes;
  fail(Job);
  LOG4CPLUS_WARN(logOf("jobs"),
                 LogFields("job given up")
                     .add("job", Job.id())
                     .add("task", toText(Job.name(Unit.Task)))
                     .add("crashes", Crashes.crashes())
                     .add("nodes", joined(Crashes.nodes()))
                     .add("after_ms", Now.UnixMs - Job.spec().accepted_ms()));
}

CrashHistory &JobTracker::crashesOf(TaskRef At) const {
  return At.Job->task(At.Job->firstOfUnit(At.Task)).Crashes;
}

void JobTracker::noteSurvival(TaskRef At) {
  CrashHistory &Crashes = crashesOf(At);
  if (Crashes.empty())
    return;
  Milliseconds SeenAlive = Milliseconds::max();
  for (std::size_t Member : gangMembers(At))
    if (const TaskState &Task = At.Job->task(Member);
        Task.Phase == wire::TASK_PLACED)
      SeenAlive = std::min(SeenAlive, Task.seenAlive());
  const bool IsProven = SeenAlive >= ProvenAfter;
  if (!IsProven && (!Crashes.isSuspect() || SeenAlive < Probation))
    return;
  Crashes.clearSuspicion();
  if (IsProven)
    Crashes = CrashHistory();
  Dirty.insert(At.Job->id());
  LOG4CPLUS_INFO(runLog(), LogFields("task no longer under suspicion")
                               .add("task", toText(At.Job->name(At.Task)))
                               .add("run", At.Job->task(At.Task).Run)
                               .add("alive_ms", SeenAlive.count())
                               .add("crashes", Crashes.crashes()));
}

void JobTracker::selectIsolatedUnits() {
  TaskRefs Suspects;
  for (auto &[Id, Job] : Jobs) {
    if (Job.EndedMs)
      continue;
    for (std::size_t At = 0; At < Job.size(); ++At) {
      const TaskState &Task = Job.task(At);
      const bool IsActive = Task.Phase == wire::TASK_PLACED ||
                            (Task.Phase == wire::TASK_WAITING && !Job.isOver());
      if (Task.Crashes.isSuspect() && IsActive)
        Suspects.push_back({&Job, At});
    }
  }
  std::stable_sort(Suspects.begin(), Suspects.end(),
                   [&](const TaskRef &L, const TaskRef &R) {
                     return crashesOf(L).outweighs(crashesOf(R));
                   });
  const std::size_t MaxWorkers =
      std::max(MinIsolatedWorkers, ReachableWorkers / WorkersPerIsolatedOne);
  IsolatedUnits.clear();
  std::size_t Taken = 0;
  for (const TaskRef &At : Suspects) {
    if (Taken >= MaxWorkers && !crashesOf(At).requiresIsolation())
      return;
    Taken += gangMembers(At).size();
    IsolatedUnits.insert({At.Job->id(), At.Task});
  }
}

bool JobTracker::isIsolated(TaskRef At) const {
  return IsolatedUnits.count({At.Job->id(), At.Job->firstOfUnit(At.Task)}) > 0;
}

void JobTracker::avoidFaultyNodes(PlanUnit &Unit, TaskJob &Job,
                                  const ClockReading &Now) const {
  BootInstant WaitingSince{};
  for (std::size_t Task : Unit.Tasks)
    WaitingSince = std::max(WaitingSince, Job.task(Task).WaitingSince);
  const TaskRef At{&Job, Unit.Tasks.front()};
  const Milliseconds Waited = Now.Boot - WaitingSince;
  if (crashesOf(At).isSuspect())
    restrictSuspect(Unit, At, Waited);
  // A worker that fails whatever it starts is free again at once, and would get
  // the task until its attempts are used up.
  else if (Job.task(Job.firstOfUnit(At.Task)).Failures.count() > 0 &&
           Waited < MaxAvoidance)
    Unit.AvoidedNodes = Quarantine.nodesFailedBy(Job.id());
}

void JobTracker::restrictSuspect(PlanUnit &Unit, TaskRef At,
                                 Milliseconds Waited) const {
  Unit.Isolated = isIsolated(At);
  Unit.MayShareWorker = Unit.Isolated && Waited >= MaxIsolationWait;
  if (Waited <
      (Unit.Step->long_running() ? MaxLongRunningAvoidance : MaxAvoidance))
    Unit.AvoidedNodes = crashesOf(At).nodes();
}

} // namespace baobabcove
