/// \file
/// Stand-in of the platform's key-value store. A second address takes orders
/// to be down, slow, or to lose answers after the change took effect.

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

ABSL_FLAG(std::string, address, "127.0.0.1:0", "ip:port for the store's calls");
ABSL_FLAG(std::string, control, "127.0.0.1:0", "ip:port for orders of tests");

namespace baobabcove::standins {
namespace {

constexpr Milliseconds ProgressPeriod{500};
constexpr Milliseconds ExpiryPeriod{50};
constexpr int MaxThreads = 200;

/// What the tests have ordered.
struct Faults {
  std::atomic<int> DelayMs{0};
  /// Answers to writes that are still to be lost.
  std::atomic<int> LoseAnswers{0};
  std::atomic<bool> Down{false};
  std::atomic<std::uint64_t> Reads{0};
  std::atomic<std::uint64_t> Writes{0};
  std::atomic<std::uint64_t> Watches{0};
};

StoreState State;
Faults Ordered;

bool takeLoss() {
  int Left = Ordered.LoseAnswers;
  while (Left > 0)
    if (Ordered.LoseAnswers.compare_exchange_weak(Left, Left - 1))
      return true;
  return false;
}

/// Answers one call; returns false for an unknown path.
bool answer(const std::string &Path, const std::string &Body,
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
    if (Ordered.DelayMs > 0)
      std::this_thread::sleep_for(Milliseconds(Ordered.DelayMs));
    if (Request.getURI() == "/v3/watch") {
      watch(Body, Response);
      return;
    }
    std::string Reply;
    bool Write = false;
    if (!answer(Request.getURI(), Body, Reply, Write)) {
      Response.setStatus(Poco::Net::HTTPResponse::HTTP_NOT_FOUND);
      Response.send();
      return;
    }
    ++(Write ? Ordered.Writes : Ordered.Reads);
    if (Write && takeLoss()) {
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
    ++Ordered.Watches;
    platform::WatchRequest Request;
    (void)fromJson(Body, Request);
    const auto &Create = Request.create_request();
    std::int64_t After = Create.start_revision() - 1;
    Response.setChunkedTransferEncoding(true);
    std::ostream &Out = Response.send();
    while (Out && !Ordered.Down) {
      platform::WatchMessage Message;
      for (const auto &Event : State.eventsAfter(
               Create.key(), Create.range_end(), After, ProgressPeriod))
        *Message.mutable_result()->add_events() = Event;
      Message.mutable_result()->mutable_header()->set_revision(After);
      Out << toJson(Message) << '\n' << std::flush;
    }
  }
};

class Factory : public Poco::Net::HTTPRequestHandlerFactory {
public:
  Poco::Net::HTTPRequestHandler *
  createRequestHandler(const Poco::Net::HTTPServerRequest &) override {
    return new Handler;
  }
};

/// The listener, which goes away while the store is down.
class Listener {
public:
  explicit Listener(const std::string &Address) : Address(Address) { open(); }

  void open() {
    Poco::Net::ServerSocket Socket;
    Socket.bind(Poco::Net::SocketAddress(Address), true, false);
    Socket.listen(256);
    Address = Socket.address().toString();
    Poco::Net::HTTPServerParams::Ptr Params = new Poco::Net::HTTPServerParams;
    Params->setMaxThreads(MaxThreads);
    Params->setKeepAlive(true);
    Params->setMaxKeepAliveRequests(0);
    Server = std::make_unique<Poco::Net::HTTPServer>(new Factory, Pool, Socket,
                                                     Params);
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

HttpResponse control(const HttpRequest &Request, Listener &Calls) {
  HttpResponse Response;
  if (Request.Path == "/down" && !Ordered.Down.exchange(true))
    Calls.close();
  else if (Request.Path == "/up" && Ordered.Down.exchange(false))
    Calls.open();
  else if (Request.Path == "/slow")
    Ordered.DelayMs = std::stoi(Request.query("ms"));
  else if (Request.Path == "/lose")
    Ordered.LoseAnswers = std::stoi(Request.query("count"));
  Response.Body = "{\"reads\":" + std::to_string(Ordered.Reads) +
                  ",\"writes\":" + std::to_string(Ordered.Writes) +
                  ",\"watches\":" + std::to_string(Ordered.Watches) + "}";
  return Response;
}

int run() {
  blockSignals();
  Listener Calls(absl::GetFlag(FLAGS_address));
  auto Control = serveHttp(
      absl::GetFlag(FLAGS_control), HttpLimits(),
      [&](const HttpRequest &Request) { return control(Request, Calls); });
  if (!Control)
    return 1;
  std::cout << "ready store=" << Calls.address()
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
