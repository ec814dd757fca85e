/// \file
/// A key-value store with conditional writes of several keys at once, leases
/// and watches, as the task scheduler uses it.

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

/// One key as the store holds it. Revision zero means that it was deleted.
struct StoreItem {
  std::string Key;
  std::string Value;
  /// Revision of the last change.
  std::int64_t Revision = 0;
  /// Revision at which the key came into being.
  std::int64_t Created = 0;
};

/// Holds when \p Key was last changed at \p Revision; zero: it is absent.
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

/// Written as a whole if every condition holds, and not at all otherwise.
struct Transaction {
  std::vector<StoreCondition> Conditions;
  std::vector<StoreWrite> Writes;
  std::vector<std::string> Removals;

  std::size_t size() const {
    return Conditions.size() + Writes.size() + Removals.size();
  }
};

/// What came of a transaction that the store has answered.
struct CommitResult {
  /// Revision of the writes, or nothing when a condition did not hold.
  std::optional<std::int64_t> Revision;
  /// The keys of the conditions as they are, when one did not hold. Absent
  /// keys are left out.
  std::vector<StoreItem> Current;
};

/// Items or changes, with the store's revision that they reach up to.
struct StoreChanges {
  std::vector<StoreItem> Items;
  std::int64_t Revision = 0;
};

/// Thread-safe. Calls fail with StoreUnavailable when they surely had no
/// effect, and with StoreAnswerLost when they may have had one or may still
/// have one later.
class TransactionalStore {
public:
  virtual ~TransactionalStore() = default;

  /// Applies \p Change. Fails with CompareFailed when its lease has ended.
  virtual Expected<CommitResult> commit(const Transaction &Change) = 0;

  /// Reads one key; nothing when it is absent.
  virtual Expected<std::optional<StoreItem>> read(const std::string &Key) = 0;

  /// Reads all keys under \p Prefix. The revision is that of the first page,
  /// so that a watch from there misses nothing.
  virtual Expected<StoreChanges> list(const std::string &Prefix) = 0;

  /// Waits at most \p Wait for changes under \p Prefix after \p After. Fails
  /// with CompareFailed when the store no longer has that history: list anew.
  virtual Expected<StoreChanges>
  changes(const std::string &Prefix, std::int64_t After, Milliseconds Wait) = 0;

  /// Grants a lease that ends \p Ttl after its last renewal.
  virtual Expected<std::int64_t> grant(Milliseconds Ttl) = 0;

  /// Renews a lease; fails with CompareFailed when it has ended.
  virtual Expected<void> renew(std::int64_t Lease) = 0;

  /// Ends a lease; its keys are removed.
  virtual Expected<void> revoke(std::int64_t Lease) = 0;

  /// Whether the store answers, by all calls so far.
  virtual const StoreHealth &health() const = 0;
};

} // namespace baobabcove

#endif // BAOBABCOVE_STORE_TRANSACTIONALSTORE_H
