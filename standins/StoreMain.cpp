/// \file
/// Stand-in of the platform's key-value store. Control requests at a second
/// address make it unavailable or slow, or make it lose responses to writes
/// that have taken effect.

#include "StoreState.h"
#include "base/HttpClient.h"
#include "base/Signals.h"
#include "http/HttpServer.h"

#include <atomic>
#include <iostream>
#include <random>
#include <thread>

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/StreamCopier.h>
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

ABSL_FLAG(std::string, address, "127.0.0.1:0", "ip:port of the store's API");
ABSL_FLAG(std::string, control, "127.0.0.1:0",
          "ip:port for control requests of tests");

namespace baobabcove::standins {
namespace {

constexpr Milliseconds ProgressPeriod{500};
constexpr Milliseconds ExpiryPeriod{50};
constexpr int MaxThreads = 200;

/// Faults injected by tests, and counters of calls.
struct FaultState {
  std::atomic<int> DelayMs{0};
  /// Number of responses to writes that are still to be lost.
  std::atomic<int> ResponsesToLose{0};
  std::atomic<bool> Down{false};
  std::atomic<std::uint64_t> Reads{0};
  std::atomic<std::uint64_t> Writes{0};
  std::atomic<std::uint64_t> Watches{0};
};

StoreState State;
FaultState Injected;

/// Returns whether the response to this write is to be lost, and counts it as
/// lost.
bool takeLostResponse() {
  int Remaining = Injected.ResponsesToLose;
  while (Remaining > 0)
    if (Injected.ResponsesToLose.compare_exchange_weak(Remaining,
                                                       Remaining - 1))
      return true;
  return false;
}

/// Handles one call. Stores the response in \p Reply and whether the call is
/// a write in \p Write; returns false for an unknown path.
bool handleCall(const std::string &Path, const std::string &Body,
                std::string &Reply, bool &Write) {
  Write = Path != "/v3/kv/range";
  if (Path == "/v3/kv/range") {
    platform::RangeRequest Request;
    (void)fromJson(Body, Request);
    Reply = toJson(State.range(Request));
  } else if (Path == "/v3/kv/txn") {
    platform::TxnRequest Request;
    (void)fromJson(Body, Request);
    Reply = toJson(State.transact(Request));
  } else if (Path == "/v3/lease/grant") {
    platform::LeaseGrantRequest Request;
    (void)fromJson(Body, Request);
    Reply = toJson(State.grant(Request.ttl()));
  } else if (Path == "/v3/lease/keepalive") {
    platform::LeaseKeepAliveRequest Request;
    (void)fromJson(Body, Request);
    platform::LeaseKeepAliveResponse Response;
    Response.mutable_result()->set_id(Request.id());
    Response.mutable_result()->set_ttl(State.keepAlive(Request.id()));
    Reply = toJson(Response);
  } else if (Path == "/v3/lease/revoke") {
    platform::LeaseRevokeRequest Request;
    (void)fromJson(Body, Request);
    platform::TxnResponse Response;
    Response.mutable_header()->set_revision(State.revoke(Request.id()));
    Reply = toJson(Response);
  } else {
    return false;
  }
  return true;
}

class Handler : public Poco::Net::HTTPRequestHandler {
public:
  void handleRequest(Poco::Net::HTTPServerRequest &Request,
                     Poco::Net::HTTPServerResponse &Response) override {
    std::string Body;
    Poco::StreamCopier::copyToString(Request.stream(), Body);
    if (Injected.DelayMs > 0)
      std::this_thread::sleep_for(Milliseconds(Injected.DelayMs));
    if (Request.getURI() == "/v3/watch") {
      watch(Body, Response);
      return;
    }
    std::string Reply;
    bool Write = false;
    if (!handleCall(Request.getURI(), Body, Reply, Write)) {
      Response.setStatus(Poco::Net::HTTPResponse::HTTP_NOT_FOUND);
      Response.send();
      return;
    }
    ++(Write ? Injected.Writes : Injected.Reads);
    if (Write && takeLostResponse()) {
      // The write has taken effect; the client sees a closed connection.
      dynamic_cast<Poco::Net::HTTPServerRequestImpl &>(Request)
          .socket()
          .shutdown();
      return;
    }
    Response.setContentType("application/json");
    Response.sendBuffer(Reply.data(), Reply.size());
  }

private:
  static void watch(const std::string &Body,
                    Poco::Net::HTTPServerResponse &Response) {
    ++Injected.Watches;
    platform::WatchRequest Request;
    (void)fromJson(Body, Request);
    const auto &Create = Request.create_request();
    std::int64_t After = Create.start_revision() - 1;
    Response.setChunkedTransferEncoding(true);
    std::ostream &Out = Response.send();
    while (Out && !Injected.Down) {
      platform::WatchMessage Message;
      for (const auto &Event : State.eventsAfter(
               Create.key(), Create.range_end(), After, ProgressPeriod))
        *Message.mutable_result()->add_events() = Event;
      Message.mutable_result()->mutable_header()->set_revision(After);
      Out << toJson(Message) << '\n' << std::flush;
    }
  }
};

class HandlerFactory : public Poco::Net::HTTPRequestHandlerFactory {
public:
  Poco::Net::HTTPRequestHandler *
  createRequestHandler(const Poco::Net::HTTPServerRequest &) override {
    return new Handler;
  }
};

/// Listens for calls of the store's API; closed while the store is down.
class StoreListener {
public:
  explicit StoreListener(const std::string &Address) : Address(Address) {
    open();
  }

  /// Listens at the address. Port 0 is replaced by the port that was assigned,
  /// so that the address stays the same when the store is opened again.
  void open() {
    Poco::Net::ServerSocket Socket;
    Socket.bind(Poco::Net::SocketAddress(Address), true, false);
    Socket.listen(256);
    Address = Socket.address().toString();
    Poco::Net::HTTPServerParams::Ptr Params = new Poco::Net::HTTPServerParams;
    Params->setMaxThreads(MaxThreads);
    Params->setKeepAlive(true);
    Params->setMaxKeepAliveRequests(0);
    Server = std::make_unique<Poco::Net::HTTPServer>(new HandlerFactory, Pool,
                                                     Socket, Params);
    Server->start();
  }

  void close() {
    Server->stopAll(true);
    Server.reset();
  }

  const std::string &address() const { return Address; }

private:
  Poco::ThreadPool Pool{2, MaxThreads};
  std::string Address;
  std::unique_ptr<Poco::Net::HTTPServer> Server;
};

HttpResponse handleControl(const HttpRequest &Request, StoreListener &Store) {
  HttpResponse Response;
  if (Request.Path == "/down" && !Injected.Down.exchange(true))
    Store.close();
  else if (Request.Path == "/up" && Injected.Down.exchange(false))
    Store.open();
  else if (Request.Path == "/slow")
    Injected.DelayMs = std::stoi(Request.query("ms"));
  else if (Request.Path == "/lose")
    Injected.ResponsesToLose = std::stoi(Request.query("count"));
  Response.Body = "{\"reads\":" + std::to_string(Injected.Reads) +
                  ",\"writes\":" + std::to_string(Injected.Writes) +
                  ",\"watches\":" + std::to_string(Injected.Watches) + "}";
  return Response;
}

int run() {
  blockSignals();
  StoreListener Store(absl::GetFlag(FLAGS_address));
  auto Control = serveHttp(absl::GetFlag(FLAGS_control), HttpLimits(),
                           [&](const HttpRequest &Request) {
                             return handleControl(Request, Store);
                           });
  if (!Control)
    return 1;
  std::cout << "ready store=" << Store.address()
            << " control=" << (*Control)->address() << std::endl;
  std::thread([] {
    for (;;) {
      State.expireLeases();
      std::this_thread::sleep_for(ExpiryPeriod);
    }
  }).detach();
  waitForStop([] {});
  std::_Exit(0);
}

} // namespace
} // namespace baobabcove::standins

int main(int ArgumentCount, char **Arguments) {
  absl::ParseCommandLine(ArgumentCount, Arguments);
  return baobabcove::standins::run();
}
