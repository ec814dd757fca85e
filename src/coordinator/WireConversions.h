/// \file
/// Conversions from protocol messages and stored records to the types of the
/// decision library.

#ifndef BAOBABCOVE_COORDINATOR_WIRECONVERSIONS_H
#define BAOBABCOVE_COORDINATOR_WIRECONVERSIONS_H

#include "baobabcove/Scheduler.h"
#include "config/Configuration.h"
#include "wire.pb.h"

namespace baobabcove {

/// Converts a wall-clock time, in milliseconds since the Unix epoch, to the
/// monotonic clock of this process. A time in the future becomes the present.
Instant toMonotonic(std::int64_t WallMs);

/// Converts a job specification; the id and the time of submission stay unset.
JobInfo shapeOf(const wire::JobSpec &Spec);

JobInfo jobInfoOf(const wire::JobRecord &Record);
WorkerInfo workerInfoOf(const wire::Heartbeat &Heartbeat);

/// Returns the guarantees of all workspaces.
std::vector<WorkspaceGuarantee> guaranteesOf(const Configuration &Current);

} // namespace baobabcove

#endif // BAOBABCOVE_COORDINATOR_WIRECONVERSIONS_H
