#include "tasks/TaskBoard.h"

#include "base/Log.h"
#include "base/LogFields.h"

#include <algorithm>

namespace baobabcove {

namespace {

/// A task that was refused is tried again after this, by when the lists of
/// the worker are up to date.
constexpr Milliseconds RefusalPause{300};
/// How long a worker that answers that it is unhealthy gets no new task.
constexpr Milliseconds UnhealthyRest{1500};
/// A run that the worker has listed and no longer lists, without an end, is
/// barred and started again after this.
constexpr Milliseconds VanishedPatience{1500};

log4cplus::Logger runLog() { return logOf("run"); }

} // namespace

NodeId nodeOf(const WorkerLife &Life) {
  return NodeId(Life.str().substr(0, Life.str().find('/')));
}

void TaskBoard::clear() {
  Jobs.clear();
  Dirty.clear();
  NotBefore.clear();
  Acknowledged.clear();
  Unkept.clear();
  Kept.clear();
}

void TaskBoard::addJob(std::shared_ptr<const wire::TaskJobSpec> Spec) {
  const JobId Id(Spec->id());
  const auto [Job, Added] = Jobs.try_emplace(Id, TaskJob(std::move(Spec)));
  if (!Added)
    return;
  for (const wire::StepSpec &Step : Job->second.spec().steps())
    LOG4CPLUS_INFO(logOf("jobs"),
                   LogFields("step to run")
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
  WorkSums &Sums = QueueWork[Job->second.spec().queue()];
  ++Sums.Jobs;
  Sums.Sum += outlookOf(Job->second, 0, {}).Work;
}

void TaskBoard::restore(const JobId &Id, const wire::TaskJobProgress &Stored,
                        std::int64_t Revision) {
  const auto Found = Jobs.find(Id);
  if (Found == Jobs.end())
    return;
  Found->second.restore(Stored);
  Found->second.Revision = Revision;
}

void TaskBoard::cancel(const JobId &Id, const BoardTime &) {
  const auto Found = Jobs.find(Id);
  if (Found == Jobs.end() || Found->second.isOver())
    return;
  TaskJob &Job = Found->second;
  Job.Cancelled = true;
  Dirty.insert(Id);
  for (std::size_t At = 0; At < Job.size(); ++At)
    if (Job.task(At).Phase == wire::TASK_PLACED)
      Job.task(At).StopWanted = true;
  LOG4CPLUS_INFO(logOf("jobs"), LogFields("job cancelled").add("job", Id));
}

TaskState *TaskBoard::find(const std::string &Name, std::uint64_t Run,
                           const WorkerLife &Life, Placed &At) {
  const auto Parsed = parseTaskName(Name);
  const auto Job = Parsed ? Jobs.find(Parsed->Job) : Jobs.end();
  if (Job == Jobs.end())
    return nullptr;
  const auto Position = Job->second.position(*Parsed);
  if (!Position)
    return nullptr;
  TaskState &Task = Job->second.task(*Position);
  if (Task.Phase != wire::TASK_PLACED || Task.Run != Run || Task.Worker != Life)
    return nullptr;
  At = {&Job->second, *Position};
  return &Task;
}

void TaskBoard::takeReport(const wire::TaskReport &Report,
                           const BoardTime &Now) {
  const WorkerLife Life(Report.worker());
  if (!Report.complete()) {
    if (Report.lapsed())
      loseNode(NodeId(Report.node()), Now);
    return;
  }
  adoptLife(NodeId(Report.node()), Life);
  takeRunning(Report, Life, Now);
  takeEnds(Report, Life, Now);
  takeRefusals(Report, Life, Now);
}

void TaskBoard::adoptLife(const NodeId &Node, const WorkerLife &Life) {
  for (auto &[Id, Job] : Jobs) {
    if (Job.EndedMs)
      continue;
    for (std::size_t At = 0; At < Job.size(); ++At) {
      TaskState &Task = Job.task(At);
      if (Task.Phase != wire::TASK_PLACED || Task.Worker == Life ||
          nodeOf(Task.Worker) != Node)
        continue;
      // The life that held the run is over. A start that is still on its way
      // could reach the new life, so the run is barred there first.
      LOG4CPLUS_INFO(runLog(), LogFields("worker began a new life")
                                   .add("task", toText(Job.name(At)))
                                   .add("run", Task.Run)
                                   .add("was", Task.Worker)
                                   .add("now", Life));
      Task.Worker = Life;
      Task.Seen = false;
      Task.StopWanted = true;
      Dirty.insert(Id);
    }
  }
}

void TaskBoard::takeRunning(const wire::TaskReport &Report,
                            const WorkerLife &Life, const BoardTime &Now) {
  for (const wire::RunStatus &Run : Report.running()) {
    Placed At{};
    TaskState *Task = find(Run.task(), Run.run(), Life, At);
    if (!Task)
      continue;
    if (!Task->Seen || Task->Percent != Run.percent())
      Task->PercentAt = Now.Boot;
    Task->Percent = Run.percent();
    // After a takeover it is not known when the run began.
    if (Task->PlacedAt == BootInstant{})
      Task->PlacedAt = Now.Boot;
    Task->Seen = true;
    Task->SeenAt = Now.Boot;
    if (!Run.checkpoint().empty())
      keepCheckpoint(At, Run.checkpoint());
  }
  const NodeId Node(Report.node());
  for (auto &[Id, Job] : Jobs) {
    if (Job.EndedMs)
      continue;
    for (std::size_t At = 0; At < Job.size(); ++At) {
      TaskState &Task = Job.task(At);
      if (Task.Phase == wire::TASK_PLACED && Task.Worker == Life && Task.Seen &&
          !Task.StopWanted && Now.Boot - Task.SeenAt > VanishedPatience) {
        LOG4CPLUS_WARN(runLog(), LogFields("run is no longer listed")
                                     .add("task", toText(Job.name(At)))
                                     .add("run", Task.Run)
                                     .add("worker", Life));
        Task.StopWanted = true;
      }
    }
  }
}

void TaskBoard::takeEnds(const wire::TaskReport &Report, const WorkerLife &Life,
                         const BoardTime &Now) {
  std::uint64_t &Through = Acknowledged[Life];
  for (const wire::RunEnd &End : Report.ends()) {
    if (End.number() <= Through)
      continue;
    Placed At{};
    if (find(End.task(), End.run(), Life, At))
      takeEnd(End, At, Now);
    else if (End.ending() == wire::RUN_DONE)
      takeStrayDone(End, Life);
    Through = End.number();
  }
}

void TaskBoard::takeStrayDone(const wire::RunEnd &End, const WorkerLife &Life) {
  const auto Name = parseTaskName(End.task());
  const auto Job = Name ? Jobs.find(Name->Job) : Jobs.end();
  const auto Position =
      Job == Jobs.end() ? std::nullopt : Job->second.position(*Name);
  if (!Position || Job->second.task(*Position).Phase == wire::TASK_DONE ||
      Job->second.step(*Position).long_running())
    return;
  LOG4CPLUS_WARN(runLog(), LogFields("task was done by another run")
                               .add("task", End.task())
                               .add("run", End.run())
                               .add("expected", Job->second.task(*Position).Run)
                               .add("worker", Life));
  finish({&Job->second, *Position});
}

void TaskBoard::takeEnd(const wire::RunEnd &End, Placed At,
                        const BoardTime &Now) {
  TaskState &Task = At.Job->task(At.Task);
  const NodeId Node = nodeOf(Task.Worker);
  LOG4CPLUS_INFO(runLog(), LogFields("run ended")
                               .add("task", End.task())
                               .add("run", End.run())
                               .add("how", wire::RunEnding_Name(End.ending()))
                               .add("worker", Task.Worker)
                               .add("checkpoint", End.checkpoint()));
  if (!End.checkpoint().empty())
    keepCheckpoint(At, End.checkpoint());
  const wire::StepSpec &Step = At.Job->step(At.Task);
  switch (End.ending()) {
  case wire::RUN_DONE:
    Suspicion.noteSuccess(Node);
    if (Task.Checkpoint.empty())
      Durations.add(
          At.Job->spec().queue(),
          std::chrono::duration_cast<Milliseconds>(Now.Boot - Task.PlacedAt));
    if (Step.long_running())
      requeue(At, Now, Milliseconds(0));
    else
      finish(At);
    break;
  case wire::RUN_FAILED:
    Suspicion.noteFailure(Node, At.Job->id(), Now.Boot);
    fail(At, Now);
    break;
  default:
    requeue(At, Now, Milliseconds(0));
    break;
  }
}

void TaskBoard::takeRefusals(const wire::TaskReport &Report,
                             const WorkerLife &Life, const BoardTime &Now) {
  for (const wire::RunRefusal &Refusal : Report.refusals()) {
    Placed At{};
    if (!find(Refusal.task(), Refusal.run(), Life, At))
      continue;
    LOG4CPLUS_INFO(runLog(),
                   LogFields("run did not start")
                       .add("task", Refusal.task())
                       .add("run", Refusal.run())
                       .add("why", wire::RefusalReason_Name(Refusal.reason()))
                       .add("worker", Life));
    if (Refusal.reason() == wire::REFUSED_UNHEALTHY)
      Suspicion.suspect(NodeId(Report.node()), Now.Boot, UnhealthyRest);
    requeue(At, Now, RefusalPause);
  }
}

void TaskBoard::loseNode(const NodeId &Node, const BoardTime &Now) {
  for (auto &[Id, Job] : Jobs) {
    if (Job.EndedMs)
      continue;
    for (std::size_t At = 0; At < Job.size(); ++At) {
      const TaskState &Task = Job.task(At);
      if (Task.Phase != wire::TASK_PLACED || nodeOf(Task.Worker) != Node)
        continue;
      LOG4CPLUS_INFO(runLog(), LogFields("lease of run has lapsed")
                                   .add("task", toText(Job.name(At)))
                                   .add("run", Task.Run)
                                   .add("worker", Task.Worker));
      requeue({&Job, At}, Now, Milliseconds(0));
    }
  }
}

std::set<NodeId> TaskBoard::busyNodes() const {
  std::set<NodeId> Nodes;
  for (const auto &[Id, Job] : Jobs)
    for (std::size_t At = 0; !Job.EndedMs && At < Job.size(); ++At)
      if (Job.task(At).Phase == wire::TASK_PLACED)
        Nodes.insert(nodeOf(Job.task(At).Worker));
  return Nodes;
}

std::vector<std::size_t> TaskBoard::members(Placed At) const {
  if (!At.Job->step(At.Task).gang())
    return {At.Task};
  const TaskName Name = At.Job->name(At.Task);
  std::vector<std::size_t> Members(At.Job->step(At.Task).count());
  for (std::size_t I = 0; I < Members.size(); ++I)
    Members[I] = At.Job->first(Name.Occurrence, Name.Step) + I;
  return Members;
}

void TaskBoard::finish(Placed At) {
  // One end of a gang's run stands for all of its members.
  for (std::size_t Member : members(At)) {
    TaskState &Task = At.Job->task(Member);
    Task.Phase = wire::TASK_DONE;
    Task.StopWanted = false;
  }
  Dirty.insert(At.Job->id());
}

void TaskBoard::stopMembers(Placed At) {
  for (std::size_t Member : members(At))
    if (TaskState &Task = At.Job->task(Member); Task.Phase == wire::TASK_PLACED)
      Task.StopWanted = true;
}

void TaskBoard::requeue(Placed At, const BoardTime &Now, Milliseconds Pause) {
  TaskState &Task = At.Job->task(At.Task);
  Task.Phase = wire::TASK_WAITING;
  Task.Seen = false;
  Task.StopWanted = false;
  Task.Percent = 0;
  // The rest of a gang cannot go on without this member.
  stopMembers(At);
  if (Pause.count() > 0)
    NotBefore[toText(At.Job->name(At.Task))] = Now.Boot + Pause;
  Dirty.insert(At.Job->id());
}

void TaskBoard::fail(Placed At, const BoardTime &Now) {
  TaskJob &Job = *At.Job;
  const bool Lasting = Job.step(At.Task).long_running();
  // A gang fails as one; its first member counts for all.
  TaskState &Counter = Job.task(members(At).front());
  ++Counter.Failures;
  requeue(At, Now, Milliseconds(0));
  if (Lasting || Counter.Failures < Job.spec().max_attempts() || Job.isOver())
    return;
  Job.Failed = true;
  for (std::size_t Other = 0; Other < Job.size(); ++Other)
    if (Job.task(Other).Phase == wire::TASK_PLACED)
      Job.task(Other).StopWanted = true;
  LOG4CPLUS_INFO(logOf("jobs"), LogFields("job failed")
                                    .add("job", Job.id())
                                    .add("task", toText(Job.name(At.Task)))
                                    .add("failures", Counter.Failures));
}

void TaskBoard::keepCheckpoint(Placed At, const std::string &Checkpoint) {
  for (std::size_t Member : members(At)) {
    TaskState &Task = At.Job->task(Member);
    if (Task.Checkpoint != Checkpoint)
      Unkept.insert(At.Job->id());
    Task.Checkpoint = Checkpoint;
  }
}

void TaskBoard::settle(const BoardTime &Now) {
  for (auto &[Id, Job] : Jobs) {
    if (Job.EndedMs)
      continue;
    if (!Job.isOver() && Job.size() > 0 && Job.areAllDone()) {
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

wire::TaskOrders TaskBoard::ordersFor(const wire::TaskReport &Report) const {
  const WorkerLife Life(Report.worker());
  wire::TaskOrders Orders;
  Orders.set_worker(Report.worker());
  std::set<std::pair<std::string, std::uint64_t>> Known;
  for (const auto &[Id, Job] : Jobs) {
    for (std::size_t At = 0; !Job.EndedMs && At < Job.size(); ++At) {
      const TaskState &Task = Job.task(At);
      if (Task.Phase != wire::TASK_PLACED || Task.Worker != Life)
        continue;
      const std::string Name = toText(Job.name(At));
      Known.insert({Name, Task.Run});
      if (Task.StopWanted) {
        wire::RunKey &Stop = *Orders.add_stops();
        Stop.set_task(Name);
        Stop.set_run(Task.Run);
      } else if (!Task.Seen) {
        wire::StartOrder &Start = *Orders.add_starts();
        Start.set_task(Name);
        Start.set_run(Task.Run);
        Start.set_payload(Job.spec().payload());
        Start.set_checkpoint(Task.Checkpoint);
        Start.set_may_have_been_sent(Task.OrderedFrom != Report.agent_life());
      }
    }
  }
  // What runs without being placed here is left over and ends.
  for (const wire::RunStatus &Run : Report.running())
    if (!Known.count({Run.task(), Run.run()})) {
      wire::RunKey &Stop = *Orders.add_stops();
      Stop.set_task(Run.task());
      Stop.set_run(Run.run());
    }
  if (const auto Through = Acknowledged.find(Life);
      Through != Acknowledged.end())
    Orders.set_acknowledged_end(Through->second);
  return Orders;
}

} // namespace baobabcove
