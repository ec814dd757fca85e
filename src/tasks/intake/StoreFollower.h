#ifndef BAOBABCOVE_TASKS_INTAKE_STOREFOLLOWER_H
#define BAOBABCOVE_TASKS_INTAKE_STOREFOLLOWER_H

#include "baobabcove/Clock.h"
#include "store/TransactionalStore.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

namespace baobabcove {

/// Callbacks of a follower, called from its thread.
struct FollowerEvents {
  /// Receives all keys under the prefix; keys that are not included no longer
  /// exist.
  std::function<void(const StoreChanges &)> Listed;
  /// Receives the changes since the previous callback, oldest first.
  std::function<void(const StoreChanges &)> Changed;
};

/// Lists the keys under a prefix and then watches them for changes, in a thread
/// of its own. After an error it continues from the last revision; if the store
/// has compacted that revision it lists all keys again.
class StoreFollower {
public:
  /// Each watch waits for at most \p Wait, which bounds the age of the copy
  /// while the store answers.
  StoreFollower(TransactionalStore &Kv, std::string Prefix, Milliseconds Wait,
                FollowerEvents Events);
  ~StoreFollower();

  void start();
  void stop();

  /// Returns the time at which the last answered call was sent. Changes stored
  /// before then have been delivered. Returns the epoch of the clock before the
  /// first answer.
  BootInstant confirmedAt() const { return ConfirmedAt.load(); }

  /// Whether the store answers: the last call that ended was answered, and the
  /// current one is not overdue at \p Now.
  bool isCurrent(BootInstant Now) const;

private:
  void run();
  bool listAll();
  bool follow();
  void noteFailure(const Error &Fault);
  void noteSuccess(BootInstant SentAt);

  TransactionalStore &Kv;
  const std::string Prefix;
  const Milliseconds Wait;
  const FollowerEvents Events;
  std::atomic<BootInstant> ConfirmedAt{BootInstant{}};
  /// When the current or last call was sent.
  std::atomic<BootInstant> CalledAt{BootInstant{}};
  std::atomic<bool> Stopping{false};
  /// Zero until all keys have been listed.
  std::int64_t Revision = 0;
  std::atomic<bool> Unreachable{false};
  std::thread Thread;
};

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_INTAKE_STOREFOLLOWER_H
