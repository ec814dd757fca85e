#include "base/HttpClient.h"
#include "platform.pb.h"
#include "store/Store.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>

namespace baobabcove {

namespace {

constexpr Milliseconds CallPatience{1500};
/// A watch that brings neither an event nor a progress notice for this long is
/// held for silent and opened anew.
constexpr Milliseconds WatchSilence{4000};
/// Calls that fail in a row before the store is held for down.
constexpr int FailuresToOpen = 2;
constexpr std::int64_t ListLimit = 500;

/// The first key after all keys that start with \p Prefix.
std::string endOfPrefix(std::string Prefix) {
  ++Prefix.back();
  return Prefix;
}

StoreEntry toEntry(const platform::KeyValue &From) {
  return {From.key(), From.value(), From.mod_revision()};
}

Error asReadError(const Error &Fault) {
  return {ResultCode::StoreUnavailable, Fault.Detail};
}

Error asWriteError(const Error &Fault) {
  if (Fault.Code == ResultCode::PeerUnreachable)
    return {ResultCode::StoreUnavailable, Fault.Detail};
  return {ResultCode::StoreAnswerLost, Fault.Detail};
}

class HttpStore : public Store {
public:
  explicit HttpStore(const std::string &Address) : Client(Address) {}

  Expected<StoreEntry> read(const std::string &Key) override {
    platform::RangeRequest Request;
    Request.set_key(Key);
    platform::RangeResponse Reply;
    if (auto Done = call("/v3/kv/range", Request, Reply); !Done)
      return tl::unexpected<Error>(asReadError(Done.error()));
    if (Reply.kvs().empty())
      return StoreEntry{Key, "", 0};
    return toEntry(Reply.kvs(0));
  }

  Expected<StoreSnapshot> list(const std::string &Prefix) override {
    StoreSnapshot Snapshot;
    platform::RangeRequest Request;
    Request.set_key(Prefix);
    Request.set_range_end(endOfPrefix(Prefix));
    Request.set_limit(ListLimit);
    for (;;) {
      platform::RangeResponse Reply;
      if (auto Done = call("/v3/kv/range", Request, Reply); !Done)
        return tl::unexpected<Error>(asReadError(Done.error()));
      // The first page's revision: changes between pages are watched again.
      if (Snapshot.Revision == 0)
        Snapshot.Revision = Reply.header().revision();
      for (const auto &Pair : Reply.kvs())
        Snapshot.Entries.push_back(toEntry(Pair));
      if (!Reply.more() || Reply.kvs().empty())
        return Snapshot;
      Request.set_key(Snapshot.Entries.back().Key + '\0');
    }
  }

  Expected<std::int64_t> swap(const std::string &Key, std::int64_t Revision,
                              const std::string &Value,
                              std::int64_t Lease) override {
    platform::TxnRequest Request = comparing(Key, Revision);
    auto *Put = Request.add_success()->mutable_request_put();
    Put->set_key(Key);
    Put->set_value(Value);
    Put->set_lease(Lease);
    return transact(Key, Request);
  }

  Expected<void> remove(const std::string &Key,
                        std::int64_t Revision) override {
    platform::TxnRequest Request = comparing(Key, Revision);
    Request.add_success()->mutable_request_delete_range()->set_key(Key);
    return transact(Key, Request).map([](std::int64_t) {});
  }

  Expected<std::int64_t> grantLease(std::chrono::seconds Ttl) override {
    platform::LeaseGrantRequest Request;
    Request.set_ttl(Ttl.count());
    platform::LeaseGrantResponse Reply;
    if (auto Done = write("/v3/lease/grant", Request, Reply); !Done)
      return tl::unexpected<Error>(asWriteError(Done.error()));
    return Reply.id();
  }

  Expected<void> renewLease(std::int64_t Lease) override {
    platform::LeaseKeepAliveRequest Request;
    Request.set_id(Lease);
    platform::LeaseKeepAliveResponse Reply;
    if (auto Done = call("/v3/lease/keepalive", Request, Reply); !Done)
      return tl::unexpected<Error>(asReadError(Done.error()));
    if (Reply.result().ttl() <= 0)
      return failure(ResultCode::CompareFailed, "The lease has lapsed.");
    return {};
  }

  Expected<void> revokeLease(std::int64_t Lease) override {
    platform::LeaseRevokeRequest Request;
    Request.set_id(Lease);
    platform::TxnResponse Reply;
    if (auto Done = write("/v3/lease/revoke", Request, Reply); !Done)
      return tl::unexpected<Error>(asWriteError(Done.error()));
    return {};
  }

  Expected<void> watch(const std::string &Prefix, std::int64_t Revision,
                       const StoreWatcher &Watcher,
                       const std::atomic<bool> &Stop) override {
    platform::WatchRequest Request;
    auto *Create = Request.mutable_create_request();
    Create->set_key(Prefix);
    Create->set_range_end(endOfPrefix(Prefix));
    Create->set_start_revision(Revision + 1);
    Create->set_progress_notify(true);
    try {
      Poco::Net::HTTPClientSession Session(
          Poco::Net::SocketAddress(Client.address()));
      Session.setTimeout(Poco::Timespan(WatchSilence.count() * 1000));
      return readEvents(Session, toJson(Request), Watcher, Stop);
    } catch (const Poco::Exception &Fault) {
      return failure(ResultCode::StoreUnavailable,
                     "The watch broke: " + Fault.displayText());
    }
  }

private:
  /// Writes are refused unsent while the store is known to be down, so that
  /// their callers hear "not run" at once; reads go on and find it up again.
  Expected<void> write(const std::string &Path,
                       const google::protobuf::Message &Request,
                       google::protobuf::Message &Reply) {
    if (FailuresInRow >= FailuresToOpen)
      return failure(ResultCode::PeerUnreachable,
                     "The store has not answered lately.");
    return call(Path, Request, Reply);
  }

  Expected<void> call(const std::string &Path,
                      const google::protobuf::Message &Request,
                      google::protobuf::Message &Reply) {
    auto Done = Client.callJson(Path, Request, Reply, CallPatience);
    if (Done)
      FailuresInRow = 0;
    else
      ++FailuresInRow;
    return Done;
  }

  static platform::TxnRequest comparing(const std::string &Key,
                                        std::int64_t Revision) {
    platform::TxnRequest Request;
    auto *Compare = Request.add_compare();
    Compare->set_result("EQUAL");
    Compare->set_target("MOD");
    Compare->set_key(Key);
    Compare->set_mod_revision(Revision);
    return Request;
  }

  Expected<std::int64_t> transact(const std::string &Key,
                                  const platform::TxnRequest &Request) {
    platform::TxnResponse Reply;
    if (auto Done = write("/v3/kv/txn", Request, Reply); !Done)
      return tl::unexpected<Error>(asWriteError(Done.error()));
    if (!Reply.succeeded())
      return failure(ResultCode::CompareFailed,
                     "The key " + Key + " has changed in the store.");
    return Reply.header().revision();
  }

  static Expected<void> readEvents(Poco::Net::HTTPClientSession &Session,
                                   const std::string &Body,
                                   const StoreWatcher &Watcher,
                                   const std::atomic<bool> &Stop) {
    Poco::Net::HTTPRequest Request("POST", "/v3/watch",
                                   Poco::Net::HTTPRequest::HTTP_1_1);
    Request.setContentLength(static_cast<std::streamsize>(Body.size()));
    Session.sendRequest(Request) << Body << std::flush;
    Poco::Net::HTTPResponse Response;
    std::istream &In = Session.receiveResponse(Response);
    std::string Line;
    while (!Stop && std::getline(In, Line)) {
      platform::WatchMessage Message;
      if (auto Read = fromJson(Line, Message); !Read)
        return Read;
      for (const auto &Event : Message.result().events()) {
        StoreEntry Entry = toEntry(Event.kv());
        if (Event.type() == "DELETE")
          Entry.Revision = 0;
        Watcher(Entry);
      }
    }
    return failure(ResultCode::StoreUnavailable, "The watch has ended.");
  }

  HttpClient Client;
  std::atomic<int> FailuresInRow{0};
};

} // namespace

std::unique_ptr<Store> makeHttpStore(const std::string &Address) {
  return std::make_unique<HttpStore>(Address);
}

} // namespace baobabcove
