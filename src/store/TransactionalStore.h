#ifndef BAOBABCOVE_STORE_TRANSACTIONALSTORE_H
#define BAOBABCOVE_STORE_TRANSACTIONALSTORE_H

#include "baobabcove/Clock.h"
#include "baobabcove/ResultCode.h"
#include "store/StoreHealth.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace baobabcove {

/// A key with its value. Revision zero means that the key was deleted.
struct StoreItem {
  std::string Key;
  std::string Value;
  /// Store revision of the last change.
  std::int64_t Revision = 0;
  /// Store revision at which the key was created.
  std::int64_t Created = 0;
};

/// Requires that the last change of Key was at Revision; zero requires that the
/// key does not exist.
struct StoreCondition {
  std::string Key;
  std::int64_t Revision = 0;
};

/// A value to write, bound to \p Lease unless that is zero.
struct StoreWrite {
  std::string Key;
  std::string Value;
  std::int64_t Lease = 0;
};

/// Writes and removals that are applied atomically if every condition holds,
/// and not at all otherwise.
struct Transaction {
  std::vector<StoreCondition> Conditions;
  std::vector<StoreWrite> Writes;
  std::vector<std::string> Removals;

  std::size_t size() const {
    return Conditions.size() + Writes.size() + Removals.size();
  }
};

/// Result of a transaction that the store has answered.
struct CommitResult {
  /// Store revision of the writes, or nothing if a condition did not hold.
  std::optional<std::int64_t> Revision;
  /// Current state of the keys of all conditions if one did not hold. Keys that
  /// do not exist are omitted.
  std::vector<StoreItem> Current;
};

/// Items or changes, up to and including a store revision.
struct StoreChanges {
  std::vector<StoreItem> Items;
  std::int64_t Revision = 0;
};

/// A key-value store with transactions over several keys, leases and watches,
/// as the task scheduler uses it. Thread-safe. Calls fail with StoreUnavailable
/// when they certainly had no effect, and with StoreAnswerLost when they may
/// have had one or may still have one later.
class TransactionalStore {
public:
  virtual ~TransactionalStore() = default;

  /// Applies \p Change. Fails with CompareFailed when a lease of its writes has
  /// expired.
  virtual Expected<CommitResult> commit(const Transaction &Change) = 0;

  /// Reads one key. Returns nothing if it does not exist.
  virtual Expected<std::optional<StoreItem>> read(const std::string &Key) = 0;

  /// Reads all keys under \p Prefix. The returned revision is that of the first
  /// page, so that a watch from there misses no change.
  virtual Expected<StoreChanges> list(const std::string &Prefix) = 0;

  /// Waits at most \p Wait for changes under \p Prefix after revision \p After.
  /// Fails with CompareFailed when the store no longer has that history; the
  /// caller must then list the prefix again.
  virtual Expected<StoreChanges>
  changes(const std::string &Prefix, std::int64_t After, Milliseconds Wait) = 0;

  /// Grants a lease that expires \p Ttl after its last renewal. Returns its id.
  virtual Expected<std::int64_t> grant(Milliseconds Ttl) = 0;

  /// Renews a lease; fails with CompareFailed when it has expired.
  virtual Expected<void> renew(std::int64_t Lease) = 0;

  /// Revokes a lease; the keys bound to it are removed.
  virtual Expected<void> revoke(std::int64_t Lease) = 0;

  /// Returns the availability of the store, by all calls so far.
  virtual const StoreHealth &health() const = 0;
};

} // namespace baobabcove

#endif // BAOBABCOVE_STORE_TRANSACTIONALSTORE_H
