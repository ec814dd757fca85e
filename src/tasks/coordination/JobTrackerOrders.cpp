/// \file
/// The part of JobTracker that makes the orders for a worker, and ends runs
/// that can no longer run there.

#include "base/Log.h"
#include "base/LogFields.h"
#include "tasks/coordination/JobTracker.h"
#include "tasks/coordination/OrderWindow.h"

#include <algorithm>
#include <limits>

namespace baobabcove {

void JobTracker::expireLeases(const ExpiredLeases &Expired,
                              const ClockReading &Now) {
  for (const TaskRef &At : placedOn(Expired.Node)) {
    const TaskState &Task = At.Job->task(At.Task);
    if (Task.Phase != wire::TASK_PLACED || !isEndedBy(Expired, Task))
      continue;
    const std::string Name = toText(At.Job->name(At.Task));
    LOG4CPLUS_INFO(logOf("run"), LogFields("lease of run expired")
                                     .add("task", Name)
                                     .add("run", Task.Run)
                                     .add("worker", Task.Worker)
                                     .add("ordered_at", Task.OrderRevision)
                                     .add("void_through", Expired.Revision));
    if (!Task.Listed)
      GivenUp.emplace_back(Name, Task.Run);
    requeue(At, Now, Milliseconds(0));
  }
}

void JobTracker::expireLeases(const NodeId &Node, const ClockReading &Now) {
  expireLeases({Node, WorkerIncarnation(), CurrentTerm,
                std::numeric_limits<std::uint64_t>::max()},
               Now);
}

std::vector<RunName> JobTracker::takeGivenUp() {
  return std::exchange(GivenUp, {});
}

bool JobTracker::isEndedBy(const ExpiredLeases &Expired,
                           const TaskState &Task) const {
  // An agent takes orders for the incarnation that it reports only. An earlier
  // coordinator may have ordered other runs before the report was made.
  if (Task.Worker != Expired.Worker)
    return Expired.Term == CurrentTerm;
  if (Task.OrderRevision)
    return Expired.Revision >= Task.OrderRevision;
  // Only orders of an earlier term can contain the run; an unpublished run of
  // this term may yet be started.
  const bool IsRestored = Task.OrderedByAgent == 0;
  return IsRestored && Expired.Term == CurrentTerm;
}

wire::TaskOrders JobTracker::ordersFor(const wire::TaskReport &Report,
                                       std::uint64_t Revision) {
  const WorkerIncarnation Incarnation(Report.worker());
  wire::TaskOrders Orders;
  Orders.set_worker(Report.worker());
  OrderWindow Window(Orders);
  std::set<RunName> Known;
  TaskRefs Unpublished;
  const auto AddStart = [&](const TaskRef &At) {
    TaskState &Task = At.Job->task(At.Task);
    wire::StartOrder Start;
    Start.set_task(toText(At.Job->name(At.Task)));
    Start.set_run(Task.Run);
    Start.set_payload(At.Job->spec().payload());
    Start.set_checkpoint(Task.Checkpoint);
    Start.set_may_have_been_sent(Task.OrderedByAgent != Report.agent_life());
    if (Task.OrderRevision)
      return Window.addPublished(std::move(Start));
    if (!Window.addStart(std::move(Start)))
      return false;
    Task.OrderRevision = Revision;
    return true;
  };
  for (const TaskRef &At : placedOn(NodeId(Report.node()))) {
    TaskState &Task = At.Job->task(At.Task);
    if (Task.Phase != wire::TASK_PLACED || Task.Worker != Incarnation)
      continue;
    const RunName Name(toText(At.Job->name(At.Task)), Task.Run);
    Known.insert(Name);
    if (Task.StopRequested) {
      if (Window.addStop(Name.first, Name.second) && !Task.OrderRevision)
        Task.OrderRevision = Revision;
    } else if (!Task.Listed && Task.OrderRevision)
      AddStart(At);
    else if (!Task.Listed)
      Unpublished.push_back(At);
  }
  // Urgent jobs do not wait for the starts of a large one.
  std::stable_sort(Unpublished.begin(), Unpublished.end(),
                   [](const TaskRef &L, const TaskRef &R) {
                     return L.Job->spec().priority() < R.Job->spec().priority();
                   });
  for (const TaskRef &At : Unpublished)
    if (!AddStart(At))
      break;
  // Stops runs that the worker lists but that are not placed there.
  for (const wire::RunStatus &Run : Report.running())
    if (!Known.count({Run.task(), Run.run()}))
      Window.addStop(Run.task(), Run.run());
  if (const auto Through = AcknowledgedEnds.find(Incarnation);
      Through != AcknowledgedEnds.end())
    Orders.set_acknowledged_end(Through->second);
  return Orders;
}

} // namespace baobabcove
