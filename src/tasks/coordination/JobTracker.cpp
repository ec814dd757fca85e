#include "tasks/coordination/JobTracker.h"

#include "base/Log.h"
#include "base/LogFields.h"

#include <algorithm>

namespace baobabcove {

namespace {

/// A run that the worker has listed and then omits for this long without
/// reporting its end is barred and started again. If the list of runs is spread
/// over several reports, of which some are skipped, it takes longer.
constexpr Milliseconds MissingRunTimeout{1500};

log4cplus::Logger runLog() { return logOf("run"); }

} // namespace

void JobTracker::updatePlacedIndex() {
  if (!IsPlacedIndexStale)
    return;
  Placed.clear();
  for (auto &[Id, Job] : Jobs)
    for (std::size_t At = 0; !Job.EndedMs && At < Job.size(); ++At)
      if (Job.task(At).Phase == wire::TASK_PLACED)
        Placed[nodeOf(Job.task(At).Worker)].push_back({&Job, At});
  IsPlacedIndexStale = false;
}

const JobTracker::TaskRefs &JobTracker::placedOn(const NodeId &Node) {
  static const TaskRefs None;
  updatePlacedIndex();
  const auto Found = Placed.find(Node);
  return Found == Placed.end() ? None : Found->second;
}

void JobTracker::clear() {
  Jobs.clear();
  Services.clear();
  Placed.clear();
  IsPlacedIndexStale = true;
  Dirty.clear();
  RetryNotBefore.clear();
  AcknowledgedEnds.clear();
  DrainingWorkers.clear();
  EarlyCancels.clear();
  UnflushedCheckpoints.clear();
  UnstoredBegun.clear();
  Reservations.clear();
  FirstPlanAt = BootInstant{};
  WaitingSteps.clear();
  Waits.clear();
  GivenUp.clear();
  Moves.clear();
}

void JobTracker::addJob(std::shared_ptr<const wire::TaskJobSpec> Spec) {
  const JobId Id(Spec->id());
  const auto [Job, Added] = Jobs.try_emplace(Id, TaskJob(std::move(Spec)));
  if (!Added)
    return;
  Services.insert(ServiceName(Job->second.spec().service()));
  for (const std::uint32_t Number : Job->second.populatedSteps()) {
    const wire::StepSpec &Step =
        Job->second.spec().steps(static_cast<int>(Number));
    LOG4CPLUS_INFO(logOf("jobs"),
                   LogFields("step added")
                       .add("job", Id)
                       .add("queue", Job->second.spec().queue())
                       .add("workspace", Job->second.spec().workspace())
                       .add("tasks", Step.count())
                       .add("milli_cores", Step.milli_cores())
                       .add("memory_mb", Step.memory_mb())
                       .add("accelerators", Step.accelerators())
                       .add("estimate_ms", Step.estimate_ms())
                       .add("gang", Step.gang())
                       .add("same_rack", Step.same_rack())
                       .add("rack", Step.data_rack())
                       .add("label", Step.required_label())
                       .add("checkpointing", Step.checkpointing()));
  }
  WorkSums &Sums = QueueWork[Job->second.spec().queue()];
  ++Sums.Jobs;
  if (Job->second.size() > 0)
    Sums.Sum += forecastOf(Job->second, 0, {}).Work;
  if (EarlyCancels.erase(Id))
    cancel(Id, {});
}

void JobTracker::restore(const JobId &Id, const wire::TaskJobProgress &Stored,
                         std::int64_t Revision) {
  const auto Found = Jobs.find(Id);
  if (Found == Jobs.end())
    return;
  IsPlacedIndexStale = true;
  TaskJob &Job = Found->second;
  Job.restore(Stored);
  Job.Revision = Revision;
  for (std::size_t At = 0; At < Job.size(); ++At)
    if (Job.task(At).Failures.count() > 0 && !isUnitPlaced({&Job, At}))
      failIfExhausted({&Job, At});
}

void JobTracker::failUnreadable(const JobId &Id, std::int64_t Revision) {
  const auto Found = Jobs.find(Id);
  if (Found == Jobs.end())
    return;
  TaskJob &Job = Found->second;
  fail(Job);
  Job.Begun = true;
  Job.Revision = Revision;
  Dirty.insert(Id);
  LOG4CPLUS_ERROR(logOf("jobs"),
                  LogFields("job failed: its stored progress cannot be read")
                      .add("job", Id)
                      .add("revision", Revision));
}

void JobTracker::cancel(const JobId &Id, const ClockReading &) {
  const auto Found = Jobs.find(Id);
  if (Found == Jobs.end()) {
    EarlyCancels.insert(Id);
    return;
  }
  if (Found->second.isOver())
    return;
  TaskJob &Job = Found->second;
  Job.Cancelled = true;
  Dirty.insert(Id);
  for (std::size_t At = 0; At < Job.size(); ++At)
    if (Job.task(At).Phase == wire::TASK_PLACED)
      Job.task(At).StopRequested = true;
  LOG4CPLUS_INFO(logOf("jobs"), LogFields("job cancelled").add("job", Id));
}

std::optional<JobTracker::TaskRef>
JobTracker::findTask(const std::string &Name) {
  const auto Parsed = parseTaskName(Name);
  const auto Job = Parsed ? Jobs.find(Parsed->Job) : Jobs.end();
  if (Job == Jobs.end())
    return std::nullopt;
  const auto Position = Job->second.position(*Parsed);
  if (!Position)
    return std::nullopt;
  return TaskRef{&Job->second, *Position};
}

TaskState *JobTracker::findRun(const std::string &Name, std::uint64_t Run,
                               const WorkerIncarnation &Incarnation,
                               TaskRef &At) {
  const auto Found = findTask(Name);
  if (!Found)
    return nullptr;
  TaskState &Task = Found->Job->task(Found->Task);
  if (Task.Phase != wire::TASK_PLACED || Task.Run != Run ||
      Task.Worker != Incarnation)
    return nullptr;
  At = *Found;
  return &Task;
}

void JobTracker::applyReport(const wire::TaskReport &Report,
                             const ClockReading &Now) {
  const WorkerIncarnation Incarnation(Report.worker());
  if (!Report.complete()) {
    if (Report.lapsed())
      expireLeases({NodeId(Report.node()), Incarnation,
                    Epoch(Report.lapsed_epoch()), Report.lapsed_revision()},
                   Now);
    return;
  }
  RunTimes.noteWorker(Report);
  noteLostRuns(Report, Now);
  adoptIncarnation(Report, Now);
  applyRunning(Report, Incarnation, Now);
  applyEnds(Report, Incarnation, Now);
  applyRefusals(Report, Incarnation, Now);
  withdrawStarts(Report);
}

void JobTracker::applyRunning(const wire::TaskReport &Report,
                              const WorkerIncarnation &Incarnation,
                              const ClockReading &Now) {
  for (const wire::RunStatus &Run : Report.running()) {
    TaskRef At{};
    TaskState *Task = findRun(Run.task(), Run.run(), Incarnation, At);
    if (!Task) {
      // A run that was given up has begun late.
      if (const auto Stale = findTask(Run.task()))
        noteBegun(*Stale, Run.run(), "listed", Now);
      continue;
    }
    if (!Task->Listed || Task->Percent != Run.percent())
      Task->PercentChangedAt = Now.Boot;
    Task->Percent = Run.percent();
    if (!Task->Listed) {
      Task->FirstListedAt = Now.Boot;
      Task->Pace = RunPace(!Task->Checkpoint.empty());
      noteCurrentRunBegun(At, "listed", Now);
    }
    Task->Pace.note(Run.percent(), Now.Boot);
    Task->Listed = true;
    Task->LastListedAt = Now.Boot;
    RunTimes.noteProgress(*At.Job, At.Task);
    noteSurvival(At);
    noteAtWork(At);
    if (!Run.checkpoint().empty())
      updateCheckpoint(At, Run.checkpoint(), Now);
  }
  const auto Parts = std::int64_t(Report.running_parts());
  const Milliseconds MissingTimeout =
      MissingRunTimeout * std::max<std::int64_t>(1, 2 * Parts);
  for (const TaskRef &At : placedOn(NodeId(Report.node()))) {
    TaskState &Task = At.Job->task(At.Task);
    if (Task.Phase == wire::TASK_PLACED && Task.Worker == Incarnation &&
        Task.Listed && !Task.StopRequested &&
        Now.Boot - Task.LastListedAt > MissingTimeout) {
      LOG4CPLUS_WARN(runLog(), LogFields("run missing from worker listing")
                                   .add("task", toText(At.Job->name(At.Task)))
                                   .add("run", Task.Run)
                                   .add("worker", Incarnation));
      Task.StopRequested = true;
    }
  }
}

bool JobTracker::isUnitPlaced(TaskRef At) const {
  const std::vector<std::size_t> Members = gangMembers(At);
  return std::any_of(Members.begin(), Members.end(), [&](std::size_t Member) {
    return At.Job->task(Member).Phase == wire::TASK_PLACED;
  });
}

std::set<NodeId> JobTracker::nodesWithRuns() {
  updatePlacedIndex();
  std::set<NodeId> Nodes;
  for (const auto &[Node, Tasks] : Placed)
    if (std::any_of(Tasks.begin(), Tasks.end(), [](const TaskRef &At) {
          return At.Job->task(At.Task).Phase == wire::TASK_PLACED;
        }))
      Nodes.insert(Node);
  return Nodes;
}

std::vector<std::size_t> JobTracker::gangMembers(TaskRef At) const {
  if (!At.Job->step(At.Task).gang())
    return {At.Task};
  const TaskName Name = At.Job->name(At.Task);
  std::vector<std::size_t> Members(At.Job->step(At.Task).count());
  for (std::size_t I = 0; I < Members.size(); ++I)
    Members[I] = At.Job->first(Name.Occurrence, Name.Step) + I;
  return Members;
}

void JobTracker::stopMembers(TaskRef At) {
  for (std::size_t Member : gangMembers(At))
    if (TaskState &Task = At.Job->task(Member); Task.Phase == wire::TASK_PLACED)
      Task.StopRequested = true;
}

void JobTracker::requeue(TaskRef At, const ClockReading &Now,
                         Milliseconds Delay) {
  TaskState &Task = At.Job->task(At.Task);
  Task.Phase = wire::TASK_WAITING;
  Task.Listed = false;
  Task.StopRequested = false;
  Task.Lost = false;
  Task.OrderRevision = 0;
  Task.Percent = 0;
  Task.WaitingSince = Now.Boot;
  // The other members of a gang cannot continue without this one.
  stopMembers(At);
  if (!isUnitPlaced(At)) {
    if (Task.DoneByEarlierRun)
      completeTasks(At);
    failIfExhausted(At);
  }
  if (Delay.count() > 0)
    RetryNotBefore[toText(At.Job->name(At.Task))] = Now.Boot + Delay;
  Dirty.insert(At.Job->id());
}

void JobTracker::fail(TaskJob &Job) {
  Job.Failed = true;
  for (std::size_t At = 0; At < Job.size(); ++At)
    if (Job.task(At).Phase == wire::TASK_PLACED)
      Job.task(At).StopRequested = true;
}

void JobTracker::updateCheckpoint(TaskRef At, const std::string &Checkpoint,
                                  const ClockReading &Now) {
  for (std::size_t Member : gangMembers(At)) {
    TaskState &Task = At.Job->task(Member);
    if (Task.Checkpoint != Checkpoint) {
      UnflushedCheckpoints.insert(At.Job->id());
      Task.CheckpointAt = Now.Boot;
    }
    Task.Checkpoint = Checkpoint;
  }
}

void JobTracker::finishJobs(const ClockReading &Now) {
  for (auto &[Id, Job] : Jobs) {
    if (Job.EndedMs) {
      if (Job.size() > 0 && !Dirty.count(Id)) {
        Job.releaseTasks();
        IsPlacedIndexStale = true;
      }
      continue;
    }
    // A job without tasks, which an earlier release may have accepted, has
    // nothing left to do.
    if (!Job.isOver() && Job.areAllDone()) {
      Job.Completed = true;
      LOG4CPLUS_INFO(
          logOf("jobs"),
          LogFields("job completed")
              .add("job", Id)
              .add("queue", Job.spec().queue())
              .add("after_ms", Now.UnixMs - Job.spec().accepted_ms()));
    }
    if (Job.isOver() && !Job.hasPlacedTasks()) {
      Job.EndedMs = Now.UnixMs;
      Dirty.insert(Id);
    }
  }
}

} // namespace baobabcove
