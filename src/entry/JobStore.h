#ifndef BAOBABCOVE_ENTRY_JOBSTORE_H
#define BAOBABCOVE_ENTRY_JOBSTORE_H

#include "baobabcove/Clock.h"
#include "baobabcove/Ids.h"
#include "baobabcove/ResultCode.h"
#include "store/Store.h"
#include "wire.pb.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace baobabcove {

/// A job record and its revision in the store.
struct StoredJob {
  wire::JobRecord Record;
  std::int64_t Revision = 0;
};

/// Returns whether a job is done, failed or cancelled.
bool hasEnded(const wire::JobRecord &Record);

/// The job records of a cell. Reads are served from a local copy that a store
/// watch keeps up to date, so they cost the store nothing and work while it is
/// unavailable. Writes go to the store. Thread-safe.
class JobStore {
public:
  /// Called for every change of a record, from the thread that learns of it.
  using Listener = std::function<void(const StoredJob &)>;

  JobStore(Store &StoreClient, const std::string &Cell);
  ~JobStore();

  /// Starts the watch.
  void start(Listener ChangeListener);

  /// Writes a new job. If a job with the same id exists, returns it when the
  /// digests are equal and fails with KeyReused otherwise. Fails with
  /// StoreUnavailable when the job was not accepted and with StoreAnswerLost
  /// when the outcome is unknown.
  Expected<StoredJob> submit(const wire::JobRecord &NewRecord);

  /// Marks a job for cancellation. Fails with UnknownJob, StoreUnavailable or
  /// StoreAnswerLost.
  Expected<StoredJob> requestCancel(const JobId &Id);

  /// Replaces the record at \p Revision and returns the new revision. When the
  /// store's answer is lost, reads the record back to learn the outcome.
  Expected<std::int64_t> write(const wire::JobRecord &Record,
                               std::int64_t Revision);

  /// Removes the record of an ended job from the store.
  Expected<void> remove(const JobId &Id, std::int64_t Revision);

  /// Reads one record from the store, bypassing the local copy.
  Expected<StoredJob> readFromStore(const JobId &Id);
  /// Reads all records from the store, bypassing the local copy.
  Expected<std::vector<StoredJob>> listFromStore();

  bool find(const JobId &Id, StoredJob &Found) const;
  std::vector<StoredJob> all() const;
  std::size_t openJobs(const WorkspaceId &Workspace) const;

  /// Waits until the job has ended, at most until \p Deadline. Stores the
  /// newest known record in \p Found and returns whether the job has ended.
  bool waitEnded(const JobId &Id, Instant Deadline, StoredJob &Found) const;

  /// Returns whether the watch is active, so that the local copy is up to date.
  bool watching() const { return WatchActive; }

private:
  void run();
  Expected<std::int64_t> loadSnapshot();
  void applyEntry(const StoreEntry &Entry);
  std::string keyOf(const JobId &Id) const { return KeyPrefix + Id.str(); }

  Store &StoreClient;
  const std::string KeyPrefix;
  Listener OnChange;
  std::atomic<bool> Stop{false};
  std::atomic<bool> WatchActive{false};
  mutable std::mutex Mutex;
  mutable std::condition_variable RecordsChanged;
  std::map<std::string, StoredJob> Jobs;
  std::thread WatchThread;
};

} // namespace baobabcove

#endif // BAOBABCOVE_ENTRY_JOBSTORE_H
