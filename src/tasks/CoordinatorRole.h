/// \file
/// Takes, keeps and gives back the coordinator's role by a lease in the store.

#ifndef BAOBABCOVE_TASKS_COORDINATORROLE_H
#define BAOBABCOVE_TASKS_COORDINATORROLE_H

#include "baobabcove/Clock.h"
#include "baobabcove/Ids.h"
#include "store/TransactionalStore.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace baobabcove {

/// One term of the role.
struct CoordinatorTerm {
  /// The store's revision of the role's key, which rises from term to term.
  Epoch Number;
  std::int64_t Revision = 0;
};

/// Thread-safe.
class CoordinatorRole {
public:
  /// \p Value is what the key says of this process. \p OnChange is called
  /// from the role's thread after the role was taken or lost.
  CoordinatorRole(TransactionalStore &Kv, std::string Value, Milliseconds Ttl,
                  std::function<void()> OnChange);
  ~CoordinatorRole();

  void start();
  /// Gives the role back, so that another process can take it at once.
  void stop();

  /// Tells that the role's key has changed in the store: whether somebody
  /// holds it.
  void noteSeat(bool Taken);

  /// The term, if this process holds the role. It may not act on it while
  /// the lease is unconfirmed.
  std::optional<CoordinatorTerm> term() const;

  /// Whether the lease surely runs now.
  bool isConfirmed() const;

  /// Tells that a write under the role's condition was refused: it is lost.
  void lose();

private:
  void run();
  Milliseconds step();
  Milliseconds acquire();
  Milliseconds keep();
  void take(std::int64_t Revision, BootInstant ValidUntil);

  TransactionalStore &Kv;
  const std::string Value;
  const Milliseconds Ttl;
  const std::function<void()> OnChange;

  mutable std::mutex Mutex;
  std::condition_variable Wake;
  bool Stopping = false;
  bool SeatTaken = true;
  std::optional<CoordinatorTerm> Held;
  std::int64_t Lease = 0;
  std::atomic<BootInstant> ValidUntil{BootInstant{}};
  std::thread Thread;
};

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_COORDINATORROLE_H
