/// \file
/// Messages and records in the types of the decision library.

#ifndef BAOBABCOVE_COORDINATOR_WIRETYPES_H
#define BAOBABCOVE_COORDINATOR_WIRETYPES_H

#include "baobabcove/Scheduler.h"
#include "config/Configuration.h"
#include "wire.pb.h"

namespace baobabcove {

/// The point on this process's clock that lies as long ago as a wall time.
Instant instantOf(std::int64_t WallMs);

/// A job without its id and time of submission.
JobInfo shapeOf(const wire::JobSpec &Spec);

JobInfo jobInfoOf(const wire::JobRecord &Record);
WorkerInfo workerInfoOf(const wire::Heartbeat &Beat);

/// The guarantees of all workspaces.
std::vector<WorkspaceGuarantee> guaranteesOf(const Configuration &Present);

} // namespace baobabcove

#endif // BAOBABCOVE_COORDINATOR_WIRETYPES_H
