#include "coordinator/WireConversions.h"

#include <algorithm>

namespace baobabcove {

namespace {

Adjacency adjacencyOf(wire::Adjacency Value) {
  switch (Value) {
  case wire::SAME_WORKER:
    return Adjacency::SameWorker;
  case wire::SAME_RACK:
    return Adjacency::SameRack;
  case wire::SAME_DATA_CENTRE:
    return Adjacency::SameDataCentre;
  default:
    return Adjacency::Any;
  }
}

} // namespace

Instant toMonotonic(std::int64_t WallMs) {
  const std::int64_t AgeMs = std::max<std::int64_t>(0, wallClockMs() - WallMs);
  return monotonicNow() - Milliseconds(AgeMs);
}

JobInfo shapeOf(const wire::JobSpec &Spec) {
  JobInfo Info;
  Info.Workspace = WorkspaceId(Spec.workspace());
  Info.Class = Spec.job_class();
  Info.Tasks = Spec.tasks();
  Info.AcceleratorsPerTask = Spec.accelerators_per_task();
  Info.Near = adjacencyOf(Spec.adjacency());
  Info.CoresPerTask = Spec.cores_per_task();
  Info.MemoryMbPerTask = Spec.memory_mb_per_task();
  Info.DeclaredRun =
      Milliseconds(static_cast<std::int64_t>(Spec.declared_run_ms()));
  Info.Urgent = Spec.urgent();
  Info.Idempotent = Spec.idempotent();
  return Info;
}

JobInfo jobInfoOf(const wire::JobRecord &Record) {
  JobInfo Info = shapeOf(Record.spec());
  Info.Id = JobId(Record.id());
  Info.Submitted = toMonotonic(Record.submitted_at_ms());
  return Info;
}

WorkerInfo workerInfoOf(const wire::Heartbeat &Heartbeat) {
  WorkerInfo Info;
  Info.Id = NodeId(Heartbeat.node());
  Info.Place = PlaceName(Heartbeat.location().place());
  Info.DataCentre = DataCentreName(Heartbeat.location().data_centre());
  Info.Rack = RackName(Heartbeat.location().rack());
  Info.Accelerators = Heartbeat.worker().accelerators();
  Info.Cores = Heartbeat.worker().cores();
  Info.MemoryMb = Heartbeat.worker().memory_mb();
  Info.Draining = Heartbeat.draining();
  return Info;
}

std::vector<WorkspaceGuarantee> guaranteesOf(const Configuration &Current) {
  std::vector<WorkspaceGuarantee> Result;
  for (const auto &[Name, Workspace] : Current.Workspaces)
    Result.push_back({WorkspaceId(Name), Workspace.Guarantee});
  return Result;
}

} // namespace baobabcove
