#include "coordinator/WireTypes.h"

#include <algorithm>

namespace baobabcove {

namespace {

Adjacency adjacencyOf(wire::Adjacency Near) {
  switch (Near) {
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

Instant instantOf(std::int64_t WallMs) {
  const std::int64_t Age = std::max<std::int64_t>(0, wallClockMs() - WallMs);
  return monotonicNow() - Milliseconds(Age);
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
  Info.Submitted = instantOf(Record.submitted_at_ms());
  return Info;
}

WorkerInfo workerInfoOf(const wire::Heartbeat &Beat) {
  WorkerInfo Info;
  Info.Id = NodeId(Beat.node());
  Info.Place = PlaceName(Beat.location().place());
  Info.DataCentre = DataCentreName(Beat.location().data_centre());
  Info.Rack = RackName(Beat.location().rack());
  Info.Accelerators = Beat.worker().accelerators();
  Info.Cores = Beat.worker().cores();
  Info.MemoryMb = Beat.worker().memory_mb();
  Info.Draining = Beat.draining();
  return Info;
}

std::vector<WorkspaceGuarantee> guaranteesOf(const Configuration &Present) {
  std::vector<WorkspaceGuarantee> Result;
  for (const auto &[Name, Workspace] : Present.Workspaces)
    Result.push_back({WorkspaceId(Name), Workspace.Guarantee});
  return Result;
}

} // namespace baobabcove
