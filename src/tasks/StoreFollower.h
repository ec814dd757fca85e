/// \file
/// Follows a part of the store: all its keys first, then each change.

#ifndef BAOBABCOVE_TASKS_STOREFOLLOWER_H
#define BAOBABCOVE_TASKS_STOREFOLLOWER_H

#include "baobabcove/Clock.h"
#include "store/TransactionalStore.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

namespace baobabcove {

/// What a follower tells. Called from the follower's thread.
struct FollowerEvents {
  /// All keys under the prefix; whatever was known before and is not among
  /// them is gone.
  std::function<void(const StoreChanges &)> Listed;
  /// Changes after what was told before, oldest first.
  std::function<void(const StoreChanges &)> Changed;
};

/// Keeps a copy of what stands under a prefix up to date, in a thread of its
/// own. After an error it goes on from the last revision; where the store has
/// lost that history it lists anew.
class StoreFollower {
public:
  /// Each watch waits at most \p Wait, which bounds how old the copy may be
  /// without notice.
  StoreFollower(TransactionalStore &Kv, std::string Prefix, Milliseconds Wait,
                FollowerEvents Events);
  ~StoreFollower();

  void start();
  void stop();

  /// The moment at which the newest answered call was sent: what was in the
  /// store then is known here. The epoch before the first answer.
  BootInstant provenAt() const { return Proven.load(); }

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
  std::atomic<BootInstant> Proven{BootInstant{}};
  std::atomic<bool> Stopping{false};
  /// Zero until everything has been listed.
  std::int64_t Revision = 0;
  bool Lost = false;
  std::thread Thread;
};

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_STOREFOLLOWER_H
