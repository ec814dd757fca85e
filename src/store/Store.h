/// \file
/// The platform's key-value store as baobabcove uses it.

#ifndef BAOBABCOVE_STORE_STORE_H
#define BAOBABCOVE_STORE_STORE_H

#include "baobabcove/Clock.h"
#include "baobabcove/ResultCode.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace baobabcove {

/// A key with its value and the store's revision of its last change. Revision
/// zero stands for a key that does not exist.
struct StoreEntry {
  std::string Key;
  std::string Value;
  std::int64_t Revision = 0;
};

/// All keys under a prefix, and the revision at which they were read.
struct StoreSnapshot {
  std::vector<StoreEntry> Entries;
  std::int64_t Revision = 0;
};

/// A seen change. A deleted key has Revision zero.
using StoreWatcher = std::function<void(const StoreEntry &)>;

/// Compare-and-swap, leases and watches. Thread-safe. Every call fails with
/// StoreUnavailable when the request surely had no effect, and with
/// StoreAnswerLost when it may have taken effect.
class Store {
public:
  virtual ~Store() = default;

  /// Reads one key; a missing key is an entry of revision zero.
  virtual Expected<StoreEntry> read(const std::string &Key) = 0;

  /// Reads all keys that start with \p Prefix.
  virtual Expected<StoreSnapshot> list(const std::string &Prefix) = 0;

  /// Writes \p Value if \p Key is still at \p Revision (zero: absent), bound to
  /// \p Lease unless that is zero. Returns the new revision; fails with
  /// CompareFailed when the key has changed.
  virtual Expected<std::int64_t> swap(const std::string &Key,
                                      std::int64_t Revision,
                                      const std::string &Value,
                                      std::int64_t Lease) = 0;

  /// Removes \p Key if it is still at \p Revision.
  virtual Expected<void> remove(const std::string &Key,
                                std::int64_t Revision) = 0;

  /// Grants a lease that lapses \p Ttl after its last renewal.
  virtual Expected<std::int64_t> grantLease(std::chrono::seconds Ttl) = 0;

  /// Renews a lease; fails with CompareFailed when it has lapsed.
  virtual Expected<void> renewLease(std::int64_t Lease) = 0;

  /// Gives a lease back; the keys bound to it are removed.
  virtual Expected<void> revokeLease(std::int64_t Lease) = 0;

  /// Calls \p Watcher for each change under \p Prefix after \p Revision, until
  /// \p Stop is set or the watch breaks or falls silent; then returns. The
  /// caller lists again and watches anew.
  virtual Expected<void> watch(const std::string &Prefix, std::int64_t Revision,
                               const StoreWatcher &Watcher,
                               const std::atomic<bool> &Stop) = 0;
};

/// A client of the store's HTTP gateway at \p Address ("ip:port").
std::unique_ptr<Store> makeHttpStore(const std::string &Address);

} // namespace baobabcove

#endif // BAOBABCOVE_STORE_STORE_H
