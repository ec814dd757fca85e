#ifndef BAOBABCOVE_TESTS_SUPPORT_KVSERVER_H
#define BAOBABCOVE_TESTS_SUPPORT_KVSERVER_H

#include "Dice.h"

#include "baobabcove/Clock.h"
#include "http/HttpServer.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <Poco/JSON/Object.h>

namespace baobabcove::testing {

/// A stand-in of the platform's store that serves its HTTP API from memory, for
/// tests with processes of the task daemons.
class KvServer {
public:
  /// What a client of the store sees.
  enum class Fault {
    None,
    /// Calls are refused with 503 and do nothing.
    Refuses,
    /// Calls do nothing and are not answered.
    Silent,
    /// Calls are carried out and not answered.
    AnswersLost,
    /// About half of the writes are not answered, and are carried out up to
    /// seconds later if their condition still holds. Other calls are sound.
    WritesLate
  };

  KvServer();
  ~KvServer();

  std::string address() const { return Doors.front()->Server->address(); }
  /// Opens an address of its own for one client, whose number is one less than
  /// the number of addresses. Not thread-safe.
  std::string openDoor();
  void setFault(std::size_t Door, Fault Next);
  /// Returns when a fault at an address last began or ended.
  Instant disturbedAt(std::size_t Door) const {
    return Doors[Door]->DisturbedAt;
  }
  /// Writes a key as an operator does. \p Value is not encoded.
  void put(const std::string &Key, const std::string &Value);
  /// Returns the number of keys that begin with \p Prefix.
  std::size_t count(const std::string &Prefix) const;
  /// Returns the number of writes that were carried out late.
  std::size_t lateWrites() const { return LateWrites; }

private:
  struct Item {
    /// In the encoding of the store's API.
    std::string Value;
    std::int64_t Revision = 0;
    std::int64_t Created = 0;
    bool IsDeleted = false;
    /// Zero for a key without a lease.
    std::int64_t Lease = 0;
  };
  struct Lease {
    std::int64_t TtlMs = 0;
    Instant Until{};
  };
  struct LateWrite {
    Instant Due{};
    HttpRequest Request;
  };
  struct Door {
    std::atomic<Fault> Seen{Fault::None};
    std::atomic<Instant> DisturbedAt{};
    std::unique_ptr<HttpServer> Server;
  };
  using Object = Poco::JSON::Object::Ptr;

  HttpResponse answerAt(const Door &At, const HttpRequest &Request);
  HttpResponse answer(const HttpRequest &Request);
  /// Whether the call is to be carried out late, in which case it is kept.
  bool postpone(const HttpRequest &Request);
  void carryOutLateWrites();
  HttpResponse answerLease(const HttpRequest &Request);
  /// Removes the keys of a lease and the lease. The mutex must be locked, so
  /// for the next two.
  void endLease(std::int64_t Id);
  void expireLeases();
  HttpResponse commit(const Object &Change);
  /// Lists the items of a prefix that changed after a revision.
  HttpResponse list(const std::string &Prefix, std::int64_t After,
                    const char *Name, bool WithDeleted) const;
  Object row(const std::string &Key, const Item &From) const;
  void write(const std::string &Key, const std::string &Encoded, bool Deleted,
             std::int64_t Lease = 0);

  mutable std::mutex Mutex;
  std::map<std::string, Item> Items;
  std::int64_t Revision = 1;
  std::int64_t NextLease = 1;
  std::map<std::int64_t, Lease> Leases;
  Dice LateDice{1};
  std::vector<LateWrite> Late;
  std::atomic<std::size_t> LateWrites{0};
  std::atomic<bool> Stopping{false};
  std::vector<std::unique_ptr<Door>> Doors;
  std::thread LateThread;
};

} // namespace baobabcove::testing

#endif // BAOBABCOVE_TESTS_SUPPORT_KVSERVER_H
