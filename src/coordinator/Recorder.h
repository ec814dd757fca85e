/// \file
/// Writes what became of jobs to the store, in order and until it is kept.

#ifndef BAOBABCOVE_COORDINATOR_RECORDER_H
#define BAOBABCOVE_COORDINATOR_RECORDER_H

#include "entry/JobBook.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace baobabcove {

/// Changes a job's record. It may be called again on a newer record, and
/// returns false to leave the record as it is.
using RecordChange = std::function<bool(wire::JobRecord &)>;

/// One thread applies changes job by job. While the store is down they wait;
/// there are at most a few for each job under way. Thread-safe.
class Recorder {
public:
  explicit Recorder(JobBook &Book);
  ~Recorder();

  /// Queues a change; \p Done is called from the recorder's thread once it is
  /// kept in the store or has become void.
  void record(const JobId &Job, RecordChange Change,
              std::function<void()> Done);

  /// Whether changes of a job wait.
  bool pending(const JobId &Job) const;
  std::size_t size() const;

  /// Drops what waits, for example when the role is lost.
  void clear();

private:
  struct Pending {
    JobId Job;
    RecordChange Change;
    std::function<void()> Done;
  };

  void run();
  bool apply(const Pending &Next);

  JobBook &Book;
  mutable std::mutex Mutex;
  std::condition_variable Wake;
  std::deque<Pending> Queue;
  bool Stopping = false;
  std::thread Thread;
};

} // namespace baobabcove

#endif // BAOBABCOVE_COORDINATOR_RECORDER_H
