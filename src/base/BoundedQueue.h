#ifndef BAOBABCOVE_BASE_BOUNDEDQUEUE_H
#define BAOBABCOVE_BASE_BOUNDEDQUEUE_H

#include "baobabcove/Clock.h"

#include <boost/lockfree/queue.hpp>

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <utility>

namespace baobabcove {

/// Queue of fixed capacity for any number of producer and consumer threads.
template <class T> class BoundedQueue {
public:
  explicit BoundedQueue(std::size_t Capacity)
      : Queue(Capacity), Limit(Capacity) {}

  BoundedQueue(const BoundedQueue &) = delete;
  BoundedQueue &operator=(const BoundedQueue &) = delete;

  ~BoundedQueue() {
    Queue.consume_all([](T *Item) { delete Item; });
  }

  /// Appends \p Item. When the queue is full, returns false and counts the item
  /// as refused.
  bool tryPush(T Item) {
    auto Owned = std::make_unique<T>(std::move(Item));
    if (!Queue.bounded_push(Owned.get())) {
      ++Refused;
      return false;
    }
    (void)Owned.release();
    ++Size;
    const std::lock_guard<std::mutex> Lock(WaitMutex);
    Ready.notify_one();
    return true;
  }

  /// Removes the first item, waiting at most \p Timeout for one. Returns
  /// nothing after that.
  std::optional<T> pop(Milliseconds Timeout) {
    T *Item = nullptr;
    if (!Queue.pop(Item)) {
      std::unique_lock<std::mutex> Lock(WaitMutex);
      Ready.wait_for(Lock, Timeout, [&] { return Queue.pop(Item); });
    }
    if (!Item)
      return std::nullopt;
    --Size;
    const std::unique_ptr<T> Owned(Item);
    return std::move(*Owned);
  }

  std::size_t capacity() const { return Limit; }
  /// Returns the number of items in the queue.
  std::size_t size() const { return Size; }
  /// Returns how many items were refused because the queue was full.
  std::size_t refused() const { return Refused; }

private:
  boost::lockfree::queue<T *> Queue;
  const std::size_t Limit;
  std::atomic<std::size_t> Size{0};
  std::atomic<std::size_t> Refused{0};
  std::mutex WaitMutex;
  std::condition_variable Ready;
};

} // namespace baobabcove

#endif // BAOBABCOVE_BASE_BOUNDEDQUEUE_H
