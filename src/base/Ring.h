/// \file
/// Bounded queue between the threads of a process.

#ifndef BAOBABCOVE_BASE_RING_H
#define BAOBABCOVE_BASE_RING_H

#include "baobabcove/Clock.h"

#include <boost/lockfree/queue.hpp>

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <utility>

namespace baobabcove {

/// A ring of fixed capacity for any number of producers and consumers.
/// A full ring refuses: tryPush returns false and counts the refusal.
template <class T> class Ring {
public:
  explicit Ring(std::size_t Capacity) : Slots(Capacity), Limit(Capacity) {}

  Ring(const Ring &) = delete;
  Ring &operator=(const Ring &) = delete;

  ~Ring() {
    Slots.consume_all([](T *Item) { delete Item; });
  }

  /// Puts \p Item at the end. Returns false when the ring is full.
  bool tryPush(T Item) {
    auto Owned = std::make_unique<T>(std::move(Item));
    if (!Slots.bounded_push(Owned.get())) {
      ++Refused;
      return false;
    }
    (void)Owned.release();
    ++Fill;
    const std::lock_guard<std::mutex> Lock(WaitMutex);
    Ready.notify_one();
    return true;
  }

  /// Takes the first item, waiting at most \p Patience for one.
  std::optional<T> pop(Milliseconds Patience) {
    T *Item = nullptr;
    if (!Slots.pop(Item)) {
      std::unique_lock<std::mutex> Lock(WaitMutex);
      Ready.wait_for(Lock, Patience, [&] { return Slots.pop(Item); });
    }
    if (!Item)
      return std::nullopt;
    --Fill;
    const std::unique_ptr<T> Owned(Item);
    return std::move(*Owned);
  }

  std::size_t capacity() const { return Limit; }
  std::size_t fill() const { return Fill; }
  std::size_t refused() const { return Refused; }

private:
  boost::lockfree::queue<T *> Slots;
  const std::size_t Limit;
  std::atomic<std::size_t> Fill{0};
  std::atomic<std::size_t> Refused{0};
  std::mutex WaitMutex;
  std::condition_variable Ready;
};

} // namespace baobabcove

#endif // BAOBABCOVE_BASE_RING_H
