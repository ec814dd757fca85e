#include "coordinator/JobRecordWriter.h"

#include <algorithm>

namespace baobabcove {

namespace {

constexpr Milliseconds RetryDelay{200};

} // namespace

JobRecordWriter::JobRecordWriter(JobStore &JobRecords)
    : JobRecords(JobRecords), Thread([this] { run(); }) {}

JobRecordWriter::~JobRecordWriter() {
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Stopping = true;
  }
  Wake.notify_all();
  Thread.join();
}

void JobRecordWriter::enqueue(const JobId &Job, RecordChange Change,
                              std::function<void()> Done) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  Queue.push_back({Job, std::move(Change), std::move(Done)});
  Wake.notify_all();
}

bool JobRecordWriter::pending(const JobId &Job) const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return std::any_of(
      Queue.begin(), Queue.end(),
      [&](const PendingChange &Queued) { return Queued.Job == Job; });
}

std::size_t JobRecordWriter::size() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Queue.size();
}

void JobRecordWriter::clear() {
  const std::lock_guard<std::mutex> Lock(Mutex);
  // The first change may be in flight; run() removes it.
  if (Queue.size() > 1)
    Queue.erase(Queue.begin() + 1, Queue.end());
}

void JobRecordWriter::run() {
  std::unique_lock<std::mutex> Lock(Mutex);
  while (!Stopping) {
    if (Queue.empty()) {
      Wake.wait(Lock, [&] { return Stopping || !Queue.empty(); });
      continue;
    }
    const PendingChange Next = Queue.front();
    Lock.unlock();
    const bool Completed = apply(Next);
    if (Completed && Next.Done)
      Next.Done();
    Lock.lock();
    if (Completed)
      Queue.pop_front();
    else
      Wake.wait_for(Lock, RetryDelay, [&] { return Stopping; });
  }
}

bool JobRecordWriter::apply(const PendingChange &Next) {
  StoredJob Current;
  if (!JobRecords.find(Next.Job, Current))
    return true;
  for (;;) {
    wire::JobRecord Changed = Current.Record;
    if (!Next.Change(Changed))
      return true;
    const auto Written = JobRecords.write(Changed, Current.Revision);
    if (Written)
      return true;
    if (Written.error().Code != ResultCode::CompareFailed)
      return false;
    const auto Newer = JobRecords.readFromStore(Next.Job);
    if (!Newer)
      return Newer.error().Code == ResultCode::UnknownJob;
    Current = *Newer;
  }
}

} // namespace baobabcove
