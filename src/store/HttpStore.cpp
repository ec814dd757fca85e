#include "base/HttpClient.h"
#include "platform.pb.h"
#include "store/Store.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>

namespace baobabcove {

namespace {

constexpr Milliseconds CallTimeout{1500};
/// A watch without an event or a progress notice for this long counts as failed
/// and is opened again.
constexpr Milliseconds WatchTimeout{4000};
/// Consecutive failed calls after which the store counts as unavailable.
constexpr int FailuresUntilUnavailable = 2;
constexpr std::int64_t ListPageSize = 500;

/// Returns the first key after all keys that start with \p Prefix.
std::string prefixRangeEnd(std::string Prefix) {
  ++Prefix.back();
  return Prefix;
}

StoreEntry toEntry(const platform::KeyValue &Pair) {
  return {Pair.key(), Pair.value(), Pair.mod_revision()};
}

Error toReadError(const Error &Fault) {
  return {ResultCode::StoreUnavailable, Fault.Detail};
}

Error toWriteError(const Error &Fault) {
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
      return tl::unexpected<Error>(toReadError(Done.error()));
    if (Reply.kvs().empty())
      return StoreEntry{Key, "", 0};
    return toEntry(Reply.kvs(0));
  }

  Expected<StoreSnapshot> list(const std::string &Prefix) override {
    StoreSnapshot Snapshot;
    platform::RangeRequest Request;
    Request.set_key(Prefix);
    Request.set_range_end(prefixRangeEnd(Prefix));
    Request.set_limit(ListPageSize);
    for (;;) {
      platform::RangeResponse Reply;
      if (auto Done = call("/v3/kv/range", Request, Reply); !Done)
        return tl::unexpected<Error>(toReadError(Done.error()));
      // The revision of the first page, so that a watch from there also returns
      // the changes made between the pages.
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
    platform::TxnRequest Request = requireRevision(Key, Revision);
    auto *Put = Request.add_success()->mutable_request_put();
    Put->set_key(Key);
    Put->set_value(Value);
    Put->set_lease(Lease);
    return runTransaction(Key, Request);
  }

  Expected<void> remove(const std::string &Key,
                        std::int64_t Revision) override {
    platform::TxnRequest Request = requireRevision(Key, Revision);
    Request.add_success()->mutable_request_delete_range()->set_key(Key);
    return runTransaction(Key, Request).map([](std::int64_t) {});
  }

  Expected<std::int64_t> grantLease(std::chrono::seconds Ttl) override {
    platform::LeaseGrantRequest Request;
    Request.set_ttl(Ttl.count());
    platform::LeaseGrantResponse Reply;
    if (auto Done = write("/v3/lease/grant", Request, Reply); !Done)
      return tl::unexpected<Error>(toWriteError(Done.error()));
    return Reply.id();
  }

  Expected<void> renewLease(std::int64_t Lease) override {
    platform::LeaseKeepAliveRequest Request;
    Request.set_id(Lease);
    platform::LeaseKeepAliveResponse Reply;
    if (auto Done = call("/v3/lease/keepalive", Request, Reply); !Done)
      return tl::unexpected<Error>(toReadError(Done.error()));
    if (Reply.result().ttl() <= 0)
      return failure(ResultCode::CompareFailed, "The lease has expired.");
    return {};
  }

  Expected<void> revokeLease(std::int64_t Lease) override {
    platform::LeaseRevokeRequest Request;
    Request.set_id(Lease);
    platform::TxnResponse Reply;
    if (auto Done = write("/v3/lease/revoke", Request, Reply); !Done)
      return tl::unexpected<Error>(toWriteError(Done.error()));
    return {};
  }

  Expected<void> watch(const std::string &Prefix, std::int64_t Revision,
                       const StoreWatchCallback &OnChange,
                       const std::atomic<bool> &Stop) override {
    platform::WatchRequest Request;
    auto *Create = Request.mutable_create_request();
    Create->set_key(Prefix);
    Create->set_range_end(prefixRangeEnd(Prefix));
    Create->set_start_revision(Revision + 1);
    Create->set_progress_notify(true);
    try {
      Poco::Net::HTTPClientSession Session(
          Poco::Net::SocketAddress(Client.address()));
      Session.setTimeout(Poco::Timespan(WatchTimeout.count() * 1000));
      return readEvents(Session, toJson(Request), OnChange, Stop);
    } catch (const Poco::Exception &Fault) {
      return failure(ResultCode::StoreUnavailable,
                     "The store watch failed: " + Fault.displayText());
    }
  }

private:
  /// Fails writes without sending them while the store is unavailable, so that
  /// their callers get "not run" immediately. Reads are still sent and detect
  /// when the store is available again.
  Expected<void> write(const std::string &Path,
                       const google::protobuf::Message &Request,
                       google::protobuf::Message &Reply) {
    if (ConsecutiveFailures >= FailuresUntilUnavailable)
      return failure(
          ResultCode::PeerUnreachable,
          "The store did not answer the last calls; nothing was sent.");
    return call(Path, Request, Reply);
  }

  Expected<void> call(const std::string &Path,
                      const google::protobuf::Message &Request,
                      google::protobuf::Message &Reply) {
    auto Done = Client.callJson(Path, Request, Reply, CallTimeout);
    if (Done)
      ConsecutiveFailures = 0;
    else
      ++ConsecutiveFailures;
    return Done;
  }

  static platform::TxnRequest requireRevision(const std::string &Key,
                                              std::int64_t Revision) {
    platform::TxnRequest Request;
    auto *Compare = Request.add_compare();
    Compare->set_result("EQUAL");
    Compare->set_target("MOD");
    Compare->set_key(Key);
    Compare->set_mod_revision(Revision);
    return Request;
  }

  Expected<std::int64_t> runTransaction(const std::string &Key,
                                        const platform::TxnRequest &Request) {
    platform::TxnResponse Reply;
    if (auto Done = write("/v3/kv/txn", Request, Reply); !Done)
      return tl::unexpected<Error>(toWriteError(Done.error()));
    if (!Reply.succeeded())
      return failure(ResultCode::CompareFailed,
                     "The key " + Key + " has changed in the store.");
    return Reply.header().revision();
  }

  static Expected<void> readEvents(Poco::Net::HTTPClientSession &Session,
                                   const std::string &Body,
                                   const StoreWatchCallback &OnChange,
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
        OnChange(Entry);
      }
    }
    return failure(ResultCode::StoreUnavailable, "The store watch has ended.");
  }

  HttpClient Client;
  std::atomic<int> ConsecutiveFailures{0};
};

} // namespace

std::unique_ptr<Store> makeHttpStore(const std::string &Address) {
  return std::make_unique<HttpStore>(Address);
}

} // namespace baobabcove
