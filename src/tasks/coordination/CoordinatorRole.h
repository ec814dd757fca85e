#ifndef BAOBABCOVE_TASKS_COORDINATION_COORDINATORROLE_H
#define BAOBABCOVE_TASKS_COORDINATION_COORDINATORROLE_H

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

/// One uninterrupted period in which a process holds the role.
struct CoordinatorTerm {
  /// The store revision of the role key, which increases from term to term.
  Epoch Number;
  std::int64_t Revision = 0;
};

/// Returns how long a process that may use \p CpuShare of a core waits before
/// it acquires a free role, so that a stronger process comes first.
Milliseconds acquisitionDelay(double CpuShare);

/// Returns the acquisition delay of the process that wrote \p RoleValue to the
/// role key, or zero if the value does not have it.
Milliseconds acquisitionDelayOf(const std::string &RoleValue);

/// Acquires, renews and releases the coordinator role, a key in the store that
/// is bound to a lease. A process asks a clearly weaker holder for the role,
/// and a holder hands it to a clearly stronger process that asks. Thread-safe.
class CoordinatorRole {
public:
  /// \p Value is written to the role key and identifies this process.
  /// \p OnChange is called from the role's thread after the role was acquired
  /// or lost. A free role is acquired after \p AcquireDelay, unless another
  /// process takes it first.
  CoordinatorRole(TransactionalStore &Kv, std::string Value, Milliseconds Ttl,
                  std::function<void()> OnChange,
                  Milliseconds AcquireDelay = Milliseconds(0));
  ~CoordinatorRole();

  void start();
  /// Releases the role, so that another process can acquire it immediately.
  void stop();

  /// Reports a change of the role key in the store: whether a process holds it,
  /// and the acquisition delay of that process.
  void noteRoleKey(bool Taken, Milliseconds HolderDelay = Milliseconds(0));

  /// Reports that a process with \p RequesterDelay asks for the role.
  void noteRequest(Milliseconds RequesterDelay);

  /// Returns the term if this process holds the role. The caller must not act
  /// on it unless isConfirmed() is true.
  std::optional<CoordinatorTerm> term() const;

  /// Whether the lease is certain to be valid now.
  bool isConfirmed() const;

  /// Gives up the role after a write under \p Lost failed its condition on the
  /// role key. A later term is kept.
  void lose(Epoch Lost);

private:
  void run();
  Milliseconds advance();
  /// Waits for the acquisition delay. Returns whether the role is still free.
  bool staysFree();
  Milliseconds acquire();
  Milliseconds renew();
  /// Asks the holder for the role, if it is weaker and has held the role for a
  /// while.
  Milliseconds requestFromWeaker();
  bool writeRequest();
  /// Ends the term and frees the role for the process that asked for it.
  Milliseconds handOver();
  void setHeld(std::int64_t Revision, BootInstant ValidUntil);

  TransactionalStore &Kv;
  const std::string Value;
  const Milliseconds Ttl;
  const std::function<void()> OnChange;
  const Milliseconds AcquireDelay;

  mutable std::mutex Mutex;
  std::condition_variable Wake;
  bool Stopping = false;
  bool RoleTaken = true;
  /// Whether the role key has changed or the role was asked for since the last
  /// step of the role's thread.
  bool HasNews = false;
  /// Acquisition delay of the process that holds the role.
  Milliseconds CurrentHolderDelay{0};
  BootInstant HolderSince{};
  /// How long a holder is left alone; grows with each unsuccessful request.
  Milliseconds RequestDelay;
  bool IsRequested = false;
  std::optional<CoordinatorTerm> Held;
  std::int64_t Lease = 0;
  std::atomic<BootInstant> ValidUntil{BootInstant{}};
  std::thread Thread;
};

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_COORDINATION_COORDINATORROLE_H
