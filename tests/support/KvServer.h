#ifndef BAOBABCOVE_TESTS_SUPPORT_KVSERVER_H
#define BAOBABCOVE_TESTS_SUPPORT_KVSERVER_H

#include "http/HttpServer.h"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include <Poco/JSON/Object.h>

namespace baobabcove::testing {

/// A stand-in of the platform's store that serves its HTTP API from memory, for
/// tests with processes of the task daemons. Leases do not expire.
class KvServer {
public:
  KvServer();

  std::string address() const { return Server->address(); }
  /// Writes a key as an operator does. \p Value is not encoded.
  void put(const std::string &Key, const std::string &Value);
  /// Returns the number of keys that begin with \p Prefix.
  std::size_t count(const std::string &Prefix) const;

private:
  struct Item {
    /// In the encoding of the store's API.
    std::string Value;
    std::int64_t Revision = 0;
    std::int64_t Created = 0;
    bool IsDeleted = false;
  };
  using Object = Poco::JSON::Object::Ptr;

  HttpResponse answer(const HttpRequest &Request);
  HttpResponse commit(const Object &Change);
  /// Lists the items of a prefix that changed after a revision.
  HttpResponse list(const std::string &Prefix, std::int64_t After,
                    const char *Name, bool WithDeleted) const;
  Object row(const std::string &Key, const Item &From) const;
  void write(const std::string &Key, const std::string &Encoded, bool Deleted);

  mutable std::mutex Mutex;
  std::map<std::string, Item> Items;
  std::int64_t Revision = 1;
  std::int64_t NextLease = 1;
  std::unique_ptr<HttpServer> Server;
};

} // namespace baobabcove::testing

#endif // BAOBABCOVE_TESTS_SUPPORT_KVSERVER_H
