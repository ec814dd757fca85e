#ifndef BAOBABCOVE_REVIEW_STANDINS_3_STORE_H
#define BAOBABCOVE_REVIEW_STANDINS_3_STORE_H

#include "Json.h"
#include "Record.h"

#include "baobabcove/Clock.h"
#include "http/HttpServer.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace baobabcove::review {

/// A stand-in of the platform's store: items, watches, transactions, leases.
class Store {
public:
  explicit Store(Record &Events);
  ~Store();

  bool listen(const std::string &Address);
  const std::string &address() const { return Address; }
  /// Writes a key as the operator.
  void put(const std::string &Key, const std::string &Value);

private:
  struct Item {
    /// In base64.
    std::string Value;
    std::int64_t Revision = 0;
    std::int64_t Created = 0;
    std::int64_t Lease = 0;
  };
  struct Event {
    std::int64_t Revision = 0;
    std::string Key;
    bool Deleted = false;
    Item Written;
  };
  struct Lease {
    Milliseconds Ttl{0};
    Instant Until{};
  };

  HttpResponse answer(const HttpRequest &Request);
  HttpResponse readKey(const std::string &Key);
  HttpResponse list(const std::string &Prefix, const std::string &After);
  HttpResponse watch(const std::string &Prefix, std::int64_t After,
                     Milliseconds Wait);
  HttpResponse commit(const Object &Change);
  HttpResponse grant(const Object &Asked);
  HttpResponse keep(std::int64_t Id);
  HttpResponse end(std::int64_t Id);
  // The mutex must be locked.
  static Object row(const std::string &Key, const Item &From);
  void write(const std::string &Key, const std::string &Encoded,
             std::int64_t Lease);
  void remove(const std::string &Key);
  void endLease(std::int64_t Id);
  void expireLeases();
  std::int64_t revisionOf(const std::string &Key) const;

  Record &Events;
  std::string Address;
  std::mutex Mutex;
  std::condition_variable Changed;
  std::atomic<bool> Stopping{false};
  std::map<std::string, Item> Items;
  std::vector<Event> History;
  std::int64_t Revision = 1;
  std::int64_t NextLease = 1;
  std::map<std::int64_t, Lease> Leases;
  std::unique_ptr<HttpServer> Server;
  std::thread Expiry;
};

} // namespace baobabcove::review

#endif // BAOBABCOVE_REVIEW_STANDINS_3_STORE_H
