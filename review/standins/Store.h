#ifndef BAOBABCOVE_REVIEW_STANDINS_STORE_H
#define BAOBABCOVE_REVIEW_STANDINS_STORE_H

#include "Http.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>

namespace baobabcove::review {

/// Stand-in of the platform's metadata store.
class Store {
public:
  Response answerCall(const Request &Message);

  /// Handles PUT /item?key=KEY of the operator, whose body is the value, and
  /// POST /late?prefix=PREFIX&ms=MS: the next transaction that writes a key
  /// under the prefix gets no answer and is done that much later.
  Response answerControl(const Request &Message);

  /// Ends the leases that have expired and makes the transactions that are due.
  void update();

private:
  using Clock = std::chrono::steady_clock;

  struct Item {
    std::string Value;
    std::int64_t Revision = 0;
    std::int64_t Created = 0;
    std::int64_t Lease = 0;
  };
  struct Event {
    std::string Key;
    Item After;
    bool IsDeleted = false;
  };
  struct Lease {
    std::int64_t TtlMs = 0;
    Clock::time_point End;
  };
  struct LateTransaction {
    JsonObject Change;
    Clock::time_point Due;
  };

  Response readKey(const Request &Message);
  Response readRange(const Request &Message);
  Response watch(const Request &Message);
  Response commit(const Request &Message);
  Response grant(const Request &Message);
  Response keep(std::int64_t Id);

  // The mutex must be locked.
  Response apply(const JsonObject &Change);
  bool takeLate(const JsonObject &Change);
  void put(const std::string &Key, const std::string &Value,
           std::int64_t LeaseId);
  void remove(const std::string &Key);
  void endLease(std::int64_t Id);
  static JsonObject toJson(const std::string &Key, const Item &From);

  std::mutex Mutex;
  std::condition_variable Changed;
  std::int64_t Revision = 1;
  std::int64_t NextLease = 1;
  std::map<std::string, Item> Items;
  std::map<std::int64_t, Lease> Leases;
  std::deque<Event> History;
  std::string LatePrefix;
  std::chrono::milliseconds LateBy{0};
  std::deque<LateTransaction> LateTransactions;
};

} // namespace baobabcove::review

#endif // BAOBABCOVE_REVIEW_STANDINS_STORE_H
