/// \file
/// Which callers may read, cancel and submit a job.

#ifndef BAOBABCOVE_TASKS_INTAKE_JOBACCESS_H
#define BAOBABCOVE_TASKS_INTAKE_JOBACCESS_H

#include "baobabcove/Ids.h"
#include "tasks.pb.h"

#include <string>
#include <vector>

namespace baobabcove {

/// The sender of a call about a job.
struct JobCaller {
  /// The workspace of its API key; empty without a key.
  WorkspaceId Workspace;
  /// The queue that it calls.
  std::string Queue;
  /// Whether that queue accepts jobs without an API key.
  bool IsQueueAnonymous = false;
};

/// Whether \p Caller may read and cancel the job of \p Spec: a job with a
/// workspace belongs to that workspace, one without to all callers of its
/// queue.
bool mayAccess(const JobCaller &Caller, const wire::TaskJobSpec &Spec);

/// Identifies the owner of the job of \p Spec, for the key of its tombstone.
std::string ownerOf(const wire::TaskJobSpec &Spec);

/// Returns the owners of all jobs that \p Caller may cancel in its queue.
std::vector<std::string> ownersFor(const JobCaller &Caller);

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_INTAKE_JOBACCESS_H
