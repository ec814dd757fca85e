#ifndef BAOBABCOVE_TASKS_COORDINATION_PROGRESSWRITER_H
#define BAOBABCOVE_TASKS_COORDINATION_PROGRESSWRITER_H

#include "store/TransactionalStore.h"
#include "tasks/TaskJob.h"
#include "tasks/coordination/CoordinatorRole.h"
#include "tasks/coordination/ProgressPages.h"

#include <map>
#include <set>
#include <string>

namespace baobabcove {

/// Result of writing progress.
enum class WriteOutcome {
  /// Everything is in the store.
  Written,
  /// Something may be missing; the caller must write again.
  Retry,
  /// Another process holds the role.
  RoleLost,
};

/// Writes the progress of jobs, conditional on the coordinator role. Not
/// thread-safe.
class ProgressWriter {
public:
  explicit ProgressWriter(TransactionalStore &Kv) : Kv(Kv) {}

  /// Writes the progress of the jobs in \p Dirty and removes those from
  /// \p Dirty that are in the store. A write with an unknown outcome is
  /// resolved by the next one, whose conditions reveal the contents of the
  /// store.
  WriteOutcome write(const CoordinatorTerm &Term,
                     std::map<JobId, TaskJob> &Jobs, std::set<JobId> &Dirty);

  /// Removes all keys of \p Id, which has \p Tasks tasks.
  WriteOutcome remove(const CoordinatorTerm &Term, const JobId &Id,
                      std::size_t Tasks);

private:
  /// The records of one job that a batch writes.
  struct PendingRecords {
    ProgressRecords Records;
    /// Numbers of the pages that are not in the store yet.
    std::vector<std::size_t> ChangedPages;
  };

  PendingRecords pendingRecords(const TaskJob &Job) const;
  WriteOutcome writeBatch(const CoordinatorTerm &Term,
                          std::map<JobId, TaskJob> &Jobs,
                          std::set<JobId> &Dirty);

  TransactionalStore &Kv;
  /// The term in which the pages below were written.
  Epoch PagesTerm;
  /// Pages that are known to be in the store, by job.
  std::map<JobId, std::vector<std::string>> StoredPages;
};

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_COORDINATION_PROGRESSWRITER_H
