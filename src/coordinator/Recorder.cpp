#include "coordinator/Recorder.h"

#include <algorithm>

namespace baobabcove {

namespace {

constexpr Milliseconds RetryPause{200};

} // namespace

Recorder::Recorder(JobBook &Book) : Book(Book), Thread([this] { run(); }) {}

Recorder::~Recorder() {
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Stopping = true;
  }
  Wake.notify_all();
  Thread.join();
}

void Recorder::record(const JobId &Job, RecordChange Change,
                      std::function<void()> Done) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  Queue.push_back({Job, std::move(Change), std::move(Done)});
  Wake.notify_all();
}

bool Recorder::pending(const JobId &Job) const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return std::any_of(Queue.begin(), Queue.end(),
                     [&](const Pending &Each) { return Each.Job == Job; });
}

std::size_t Recorder::size() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Queue.size();
}

void Recorder::clear() {
  const std::lock_guard<std::mutex> Lock(Mutex);
  // The first one may be under way; the thread removes it itself.
  if (Queue.size() > 1)
    Queue.erase(Queue.begin() + 1, Queue.end());
}

void Recorder::run() {
  std::unique_lock<std::mutex> Lock(Mutex);
  while (!Stopping) {
    if (Queue.empty()) {
      Wake.wait(Lock, [&] { return Stopping || !Queue.empty(); });
      continue;
    }
    const Pending Next = Queue.front();
    Lock.unlock();
    const bool Kept = apply(Next);
    if (Kept && Next.Done)
      Next.Done();
    Lock.lock();
    if (Kept)
      Queue.pop_front();
    else
      Wake.wait_for(Lock, RetryPause, [&] { return Stopping; });
  }
}

bool Recorder::apply(const Pending &Next) {
  StoredJob Present;
  if (!Book.find(Next.Job, Present))
    return true;
  for (;;) {
    wire::JobRecord Changed = Present.Record;
    if (!Next.Change(Changed))
      return true;
    const auto Written = Book.write(Changed, Present.Revision);
    if (Written)
      return true;
    if (Written.error().Code != ResultCode::CompareFailed)
      return false;
    const auto Newer = Book.readThrough(Next.Job);
    if (!Newer)
      return Newer.error().Code == ResultCode::UnknownJob;
    Present = *Newer;
  }
}

} // namespace baobabcove
