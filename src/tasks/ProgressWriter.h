/// \file
/// Writes the progress of jobs under the condition that the role is still
/// held.

#ifndef BAOBABCOVE_TASKS_PROGRESSWRITER_H
#define BAOBABCOVE_TASKS_PROGRESSWRITER_H

#include "store/TransactionalStore.h"
#include "tasks/CoordinatorRole.h"
#include "tasks/TaskJob.h"

#include <map>
#include <set>
#include <string>

namespace baobabcove {

/// How a round of writing ended.
enum class WriteOutcome {
  /// Everything is in the store.
  Written,
  /// Something may be missing: write again.
  Retry,
  /// Another process holds the role.
  RoleLost,
};

/// Used by one thread.
class ProgressWriter {
public:
  explicit ProgressWriter(TransactionalStore &Kv) : Kv(Kv) {}

  /// Writes the progress of the jobs in \p Dirty and takes those that are in
  /// the store out of it. A write whose answer was lost is settled by the
  /// next one, whose conditions show what the store holds.
  WriteOutcome write(const CoordinatorTerm &Term,
                     std::map<JobId, TaskJob> &Jobs, std::set<JobId> &Dirty);

  /// Removes all keys of \p Id.
  WriteOutcome remove(const CoordinatorTerm &Term, const JobId &Id);

private:
  WriteOutcome writeSome(const CoordinatorTerm &Term,
                         std::map<JobId, TaskJob> &Jobs,
                         std::set<JobId> &Dirty);

  TransactionalStore &Kv;
};

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_PROGRESSWRITER_H
