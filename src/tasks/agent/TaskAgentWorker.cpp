/// \file
/// The part of TaskAgent that follows the incarnations of its worker.

#include "base/Log.h"
#include "base/LogFields.h"
#include "tasks/agent/TaskAgent.h"

namespace baobabcove {

void TaskAgent::onHeartbeat(const WorkerHeartbeat &Heartbeat) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (Worker && (Heartbeat.StartedAtMs < Worker->StartedAtMs ||
                 (Heartbeat.Id == Worker->Id &&
                  Heartbeat.StartedAtMs == Worker->StartedAtMs &&
                  Heartbeat.Sequence <= Worker->Sequence)))
    return;
  const bool StartsDraining =
      Heartbeat.Draining && !(Worker && Worker->Draining);
  const WorkerIncarnation Name =
      incarnationOf(Settings.Node, Heartbeat.Id, Heartbeat.StartedAtMs);
  const bool NewIncarnation = Name != WorkerName;
  const bool NewCapacity =
      Worker && !(Heartbeat.MilliCores == Worker->MilliCores &&
                  Heartbeat.MemoryMb == Worker->MemoryMb &&
                  Heartbeat.Accelerators == Worker->Accelerators);
  if (NewIncarnation && Worker)
    noteEnd(false);
  Worker = Heartbeat;
  ColdUntil = BootClock::now() + Heartbeat.ColdRemaining;
  if (NewIncarnation) {
    LOG4CPLUS_INFO(logOf("worker"),
                   LogFields("worker announced")
                       .add("worker", Name)
                       .add("was", WorkerName)
                       .add("address", Heartbeat.Address)
                       .add("rack", Heartbeat.Rack)
                       .add("accelerators", Heartbeat.Accelerators));
    resetWorkerState();
    IsSoleAgent = !WorkerName.str().empty();
    WorkerName = Name;
    Link = std::shared_ptr<WorkerLink>(Links(Heartbeat));
  }
  if (StartsDraining)
    LOG4CPLUS_INFO(logOf("worker"),
                   LogFields("worker is draining")
                       .add("worker", Name)
                       .add("remaining_ms", Heartbeat.Remaining.count()));
  if (NewCapacity)
    LOG4CPLUS_INFO(logOf("worker"),
                   LogFields("worker's capacity changed")
                       .add("worker", Name)
                       .add("milli_cores", Heartbeat.MilliCores)
                       .add("memory_mb", Heartbeat.MemoryMb)
                       .add("accelerators", Heartbeat.Accelerators));
  if (NewIncarnation || StartsDraining || NewCapacity) {
    ReportPending = true;
    ReportNeeded.notify_all();
    StateChanged.notify_all();
  }
}

void TaskAgent::onWorkerLeft(const std::string &Id) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (!Worker || Worker->Id != Id)
    return;
  LOG4CPLUS_INFO(logOf("worker"),
                 LogFields("worker left").add("worker", WorkerName));
  departWorker(true);
}

void TaskAgent::noteEnd(bool Announced) {
  if (isDeparted(WorkerName))
    return;
  if (Announced || Worker->Draining)
    LeftWorker = WorkerName;
  LostWorker = Listed || IsSoleAgent ? WorkerName : WorkerIncarnation();
  AreLostRunsComplete = IsSoleAgent;
  LostRuns = StartsSent;
  for (const wire::RunStatus &Run : Running)
    LostRuns.insert({Run.task(), Run.run()});
  for (const wire::RunEnd &End : Ends)
    LostRuns.erase({End.task(), End.run()});
}

void TaskAgent::departWorker(bool Announced) {
  noteEnd(Announced);
  resetWorkerState();
  Link.reset();
  // The departed worker is reported as an incarnation without runs, so that the
  // coordinator treats the runs of the last incarnation as ended.
  Worker->Draining = true;
  WorkerName = departedIncarnation(Settings.Node, ++DepartedWorkers);
  Listed = true;
  ListedAt = BootInstant::max();
  ReportPending = true;
  ReportNeeded.notify_all();
}

void TaskAgent::resetWorkerState() {
  UnansweredStarts = std::move(StartsSent);
  for (const wire::RunStatus &Run : Running)
    UnansweredStarts.erase({Run.task(), Run.run()});
  Lease.resetWorker();
  Running.clear();
  Ends.clear();
  RunOrders.clear();
  Limit.forgetHeld();
  StartsSent.clear();
  Orders.Clear();
  Listed = false;
  Liveness = WorkerLiveness();
  WorkerClockAt = BootInstant{};
}

} // namespace baobabcove
