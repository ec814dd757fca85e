/// \file
/// A copy of all jobs in the store, for answering callers.

#ifndef BAOBABCOVE_TASKS_JOBCATALOG_H
#define BAOBABCOVE_TASKS_JOBCATALOG_H

#include "store/TransactionalStore.h"
#include "tasks/TaskJob.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace baobabcove {

/// What the catalog knows of one job.
struct CatalogEntry : JobMarks {
  std::shared_ptr<const wire::TaskJobSpec> Spec;
  /// The store's revision of the accepted job.
  std::int64_t Revision = 0;
};

/// Who holds the coordinator's role, by the store.
struct CoordinatorSeat {
  std::string Value;
  std::int64_t Revision = 0;
};

/// Told of jobs and cancels as they come in.
class CatalogListener {
public:
  virtual ~CatalogListener() = default;
  virtual void onJob(std::shared_ptr<const wire::TaskJobSpec> Spec) = 0;
  virtual void onCancel(const JobId &Id) = 0;
  virtual void onSeatChange() = 0;
};

/// Thread-safe. Items that cannot be read are logged and left out.
class JobCatalog {
public:
  /// \p Listener, which may be null, must outlive the catalog.
  explicit JobCatalog(CatalogListener *Listener) : Listener(Listener) {}

  /// Takes over all keys; jobs that are not among them are gone.
  void replaceAll(const StoreChanges &All);
  void apply(const StoreChanges &Changes);
  /// Adds a job that this process has just had accepted.
  void insert(std::shared_ptr<const wire::TaskJobSpec> Spec,
              std::int64_t Revision);
  void markCancelled(const JobId &Id);

  std::optional<CatalogEntry> find(const JobId &Id) const;
  /// Jobs of \p Queue of which no task has started.
  std::size_t waiting(const std::string &Queue) const;
  std::size_t size() const;
  /// Nothing while nobody holds the role.
  std::optional<CoordinatorSeat> seat() const;

private:
  void applyItem(const StoreItem &Item);
  void applyJob(const JobId &Id, const StoreItem &Item);
  void applyProgress(const JobId &Id, const StoreItem &Item);
  void applySeat(const StoreItem &Item);

  CatalogListener *Listener;
  mutable std::mutex Mutex;
  std::map<JobId, CatalogEntry> Entries;
  std::optional<CoordinatorSeat> Seat;
};

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_JOBCATALOG_H
