#ifndef BAOBABCOVE_TASKS_INTAKE_JOBCATALOG_H
#define BAOBABCOVE_TASKS_INTAKE_JOBCATALOG_H

#include "store/TransactionalStore.h"
#include "tasks/TaskJob.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace baobabcove {

/// The state of one job in the catalog.
struct CatalogEntry : JobFlags {
  std::shared_ptr<const wire::TaskJobSpec> Spec;
  /// Store revision of the accepted job.
  std::int64_t Revision = 0;
  /// What it counts towards the limits on unfinished tasks.
  std::uint64_t Size = 0;
};

/// Sums of the sizes of the jobs that are not over.
struct UnfinishedTasks {
  std::uint64_t InCell = 0;
  std::uint64_t OfWorkspace = 0;
};

/// The holder of the coordinator role according to the store.
struct RoleHolder {
  std::string Value;
  std::int64_t Revision = 0;
};

/// Receives jobs, cancellations and changes of the role key as the catalog
/// learns of them.
class CatalogListener {
public:
  virtual ~CatalogListener() = default;
  virtual void onJob(std::shared_ptr<const wire::TaskJobSpec> Spec) = 0;
  virtual void onCancel(const JobId &Id) = 0;
  virtual void onRoleKeyChange() = 0;
  /// A process with the given acquisition delay asks for the role.
  virtual void onRoleRequest(Milliseconds /*AcquireDelay*/) {}
};

/// In-memory copy of all jobs in the store, for answering clients. Thread-safe.
/// Records that are no accepted jobs are logged and skipped.
class JobCatalog {
public:
  /// \p Listener may be null and must outlive the catalog.
  explicit JobCatalog(CatalogListener *Listener) : Listener(Listener) {}

  /// Replaces the contents with \p All; jobs that are not listed are removed.
  void replaceAll(const StoreChanges &All);
  void apply(const StoreChanges &Changes);
  /// Adds a job that this process has just written to the store.
  void insert(std::shared_ptr<const wire::TaskJobSpec> Spec,
              std::int64_t Revision);
  void markCancelled(const JobId &Id);

  std::optional<CatalogEntry> find(const JobId &Id) const;
  /// Returns the number of jobs of \p Queue of which no task has started.
  std::size_t pendingJobs(const std::string &Queue) const;
  /// Returns the unfinished tasks of all jobs, and of those of \p Workspace.
  UnfinishedTasks unfinishedTasks(const std::string &Workspace) const;
  std::size_t size() const;
  /// Returns nothing while no process holds the role.
  std::optional<RoleHolder> roleHolder() const;

private:
  void applyItem(const StoreItem &Item);
  void applyJob(const JobId &Id, const StoreItem &Item);
  void applyProgress(const JobId &Id, const StoreItem &Item);
  void applyRoleHolder(const StoreItem &Item);
  void applyRoleRequest(const StoreItem &Item);

  CatalogListener *Listener;
  mutable std::mutex Mutex;
  std::map<JobId, CatalogEntry> Entries;
  std::optional<RoleHolder> Holder;
};

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_INTAKE_JOBCATALOG_H
