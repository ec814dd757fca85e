#ifndef BAOBABCOVE_STANDINS_STORESTATE_H
#define BAOBABCOVE_STANDINS_STORESTATE_H

#include "baobabcove/Clock.h"
#include "platform.pb.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace baobabcove::standins {

/// The keys, revisions, leases and events of a single-node store, held in
/// memory with the semantics of the published etcd v3 calls that baobabcove
/// uses. Thread-safe.
class StoreState {
public:
  platform::RangeResponse range(const platform::RangeRequest &Request);
  /// Applies the operations for success when every key has the compared
  /// revision and every lease named exists, or else those for failure.
  platform::TxnResponse transact(const platform::TxnRequest &Request);
  platform::LeaseGrantResponse grant(std::int64_t TtlS);
  /// Renews a lease. Returns its time to live in seconds, or zero when the
  /// lease has expired.
  std::int64_t keepAlive(std::int64_t Id);
  /// Ends a lease and deletes its keys. Returns the store's revision.
  std::int64_t revoke(std::int64_t Id);

  /// Returns the events on keys in [\p Key, \p End) after the revision
  /// \p After, waiting for the first one at most \p Timeout. Sets \p After to
  /// the current revision.
  std::vector<platform::Event> eventsAfter(const std::string &Key,
                                           const std::string &End,
                                           std::int64_t &After,
                                           Milliseconds Timeout);

  /// Revokes the leases that have expired.
  void expireLeases();

private:
  struct Lease {
    std::int64_t TtlS = 0;
    Instant ExpiresAt;
    std::set<std::string> Keys;
  };

  void put(const platform::PutRequest &Request);
  void erase(const std::string &Key);
  void emit(const std::string &Type, const platform::KeyValue &Pair);

  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::string, platform::KeyValue> Pairs;
  std::map<std::int64_t, Lease> Leases;
  std::vector<platform::Event> Events;
  std::int64_t Revision = 1;
  std::int64_t NextLease = 1000;
};

} // namespace baobabcove::standins

#endif // BAOBABCOVE_STANDINS_STORESTATE_H
