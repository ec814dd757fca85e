#ifndef BAOBABCOVE_COORDINATOR_JOBRECORDWRITER_H
#define BAOBABCOVE_COORDINATOR_JOBRECORDWRITER_H

#include "entry/JobStore.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace baobabcove {

/// Changes a job record in place and returns whether it is to be written.
/// Called again with the newer record when another writer changed it first.
using RecordChange = std::function<bool(wire::JobRecord &)>;

/// Writes changes of job records to the store on a thread of its own, in the
/// order in which they were queued. A change is retried until the store has
/// accepted it, so that changes queue up while the store is unavailable; each
/// running job has at most a few. Thread-safe.
class JobRecordWriter {
public:
  explicit JobRecordWriter(JobStore &JobRecords);
  ~JobRecordWriter();

  /// Queues a change. \p Done, if set, is called from the writer's thread once
  /// the change is stored or no longer applies.
  void enqueue(const JobId &Job, RecordChange Change,
               std::function<void()> Done);

  /// Returns whether changes of \p Job are queued or being written.
  bool pending(const JobId &Job) const;
  std::size_t size() const;

  /// Drops the queued changes, for example when the coordinator role is lost. A
  /// change that is being written is completed.
  void clear();

private:
  struct PendingChange {
    JobId Job;
    RecordChange Change;
    std::function<void()> Done;
  };

  void run();
  bool apply(const PendingChange &Next);

  JobStore &JobRecords;
  mutable std::mutex Mutex;
  std::condition_variable Wake;
  std::deque<PendingChange> Queue;
  bool Stopping = false;
  std::thread Thread;
};

} // namespace baobabcove

#endif // BAOBABCOVE_COORDINATOR_JOBRECORDWRITER_H
