/// \file
/// The jobs of a cell, as the platform's store has them.

#ifndef BAOBABCOVE_ENTRY_JOBBOOK_H
#define BAOBABCOVE_ENTRY_JOBBOOK_H

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

/// A job record and the store's revision of it.
struct StoredJob {
  wire::JobRecord Record;
  std::int64_t Revision = 0;
};

/// Whether a job has come to its end.
bool hasEnded(const wire::JobRecord &Record);

/// A copy of the cell's job records, kept up to date by one watch, so that
/// reading costs the store nothing and goes on while it is down. Writes go to
/// the store. Thread-safe.
class JobBook {
public:
  /// Hears every change, from the watch's thread.
  using Listener = std::function<void(const StoredJob &)>;

  JobBook(Store &Platform, const std::string &Cell);
  ~JobBook();

  /// Begins to watch.
  void start(Listener Changed);

  /// Writes a new job. A job of the same id and digest that is there already
  /// is returned as it is; one with another digest fails with KeyReused.
  /// Fails with StoreUnavailable when the job was surely not accepted, and
  /// with StoreAnswerLost when that is not known.
  Expected<StoredJob> submit(const wire::JobRecord &Fresh);

  /// Marks a job for cancelling. Fails with UnknownJob, StoreUnavailable or
  /// StoreAnswerLost.
  Expected<StoredJob> requestCancel(const JobId &Id);

  /// Replaces the record at \p Revision; returns the new revision. When the
  /// answer is lost, the record is read back to tell.
  Expected<std::int64_t> write(const wire::JobRecord &Record,
                               std::int64_t Revision);

  /// Removes an ended record.
  Expected<void> remove(const JobId &Id, std::int64_t Revision);

  /// Reads one record from the store itself.
  Expected<StoredJob> readThrough(const JobId &Id);
  /// Reads all records from the store itself.
  Expected<std::vector<StoredJob>> listThrough();

  bool find(const JobId &Id, StoredJob &Found) const;
  std::vector<StoredJob> all() const;
  std::size_t openJobs(const WorkspaceId &Workspace) const;

  /// Waits until the job has ended or \p Deadline; returns the newest record.
  bool waitEnded(const JobId &Id, Instant Deadline, StoredJob &Found) const;

  /// Whether the copy follows the store at present.
  bool following() const { return Following; }

private:
  void run();
  Expected<std::int64_t> load();
  void take(const StoreEntry &Entry);
  std::string keyOf(const JobId &Id) const { return Prefix + Id.str(); }

  Store &Platform;
  const std::string Prefix;
  Listener Changed;
  std::atomic<bool> Stop{false};
  std::atomic<bool> Following{false};
  mutable std::mutex Mutex;
  mutable std::condition_variable Updated;
  std::map<std::string, StoredJob> Jobs;
  std::thread Thread;
};

} // namespace baobabcove

#endif // BAOBABCOVE_ENTRY_JOBBOOK_H
