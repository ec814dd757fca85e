/// \file
/// The memory of the stand-in store: keys, revisions, leases and events.

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

/// A single-node store with the semantics of the published etcd v3 calls that
/// baobabcove uses. Thread-safe.
class StoreState {
public:
  platform::RangeResponse range(const platform::RangeRequest &Request);
  platform::TxnResponse transact(const platform::TxnRequest &Request);
  platform::LeaseGrantResponse grant(std::int64_t TtlS);
  /// Remaining time to live in seconds; zero when the lease has lapsed.
  std::int64_t keepAlive(std::int64_t Id);
  std::int64_t revoke(std::int64_t Id);

  /// Events on keys in [\p Key, \p End) after \p Revision; waits for one at
  /// most \p Patience.
  std::vector<platform::Event> eventsAfter(const std::string &Key,
                                           const std::string &End,
                                           std::int64_t &Revision,
                                           Milliseconds Patience);

  /// Ends lapsed leases.
  void expireLeases();

private:
  struct Lease {
    std::int64_t TtlS = 0;
    Instant Until;
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
