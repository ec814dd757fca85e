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

/// A key with its value and the store revision of its last change. Revision
/// zero means that the key does not exist.
struct StoreEntry {
  std::string Key;
  std::string Value;
  std::int64_t Revision = 0;
};

/// All keys under a prefix, and the store revision at which they were read.
struct StoreSnapshot {
  std::vector<StoreEntry> Entries;
  std::int64_t Revision = 0;
};

/// Called with each change of a key. A deleted key has revision zero.
using StoreWatchCallback = std::function<void(const StoreEntry &)>;

/// The platform's key-value store: compare-and-swap, leases and watches.
/// Thread-safe. Every call fails with StoreUnavailable when the request
/// certainly had no effect, and with StoreAnswerLost when it may have taken
/// effect.
class Store {
public:
  virtual ~Store() = default;

  /// Reads one key. A missing key is returned as an entry of revision zero.
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

  /// Grants a lease that expires \p Ttl after its last renewal. Returns its id.
  virtual Expected<std::int64_t> grantLease(std::chrono::seconds Ttl) = 0;

  /// Renews a lease; fails with CompareFailed when it has expired.
  virtual Expected<void> renewLease(std::int64_t Lease) = 0;

  /// Revokes a lease; the keys bound to it are removed.
  virtual Expected<void> revokeLease(std::int64_t Lease) = 0;

  /// Calls \p OnChange for each change under \p Prefix after \p Revision.
  /// Returns when \p Stop is set, the watch fails, or neither an event nor a
  /// progress notice arrives in time. The caller must then list the prefix
  /// again before it starts a new watch.
  virtual Expected<void> watch(const std::string &Prefix, std::int64_t Revision,
                               const StoreWatchCallback &OnChange,
                               const std::atomic<bool> &Stop) = 0;
};

/// Returns a client of the store's HTTP gateway at \p Address ("ip:port").
std::unique_ptr<Store> makeHttpStore(const std::string &Address);

} // namespace baobabcove

#endif // BAOBABCOVE_STORE_STORE_H
