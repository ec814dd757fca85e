#include "http/HttpServer.h"

#include "base/Log.h"
#include "http/ReceiveWatchdog.h"

#include <algorithm>
#include <thread>

#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponseImpl.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/String.h>
#include <Poco/ThreadPool.h>
#include <Poco/URI.h>

namespace baobabcove {

namespace {

constexpr int ListenBacklog = 512;
constexpr int ThreadStackBytes = 256 * 1024;
/// Bytes of an oversized body that are read and discarded, so that the sender
/// receives the error response instead of a connection reset.
constexpr std::size_t MaxDiscardedBytes = 8 << 20;
constexpr std::size_t ReadBlockBytes = 16384;
constexpr Milliseconds DrainPollPeriod{10};
/// A thread without a connection ends after this time. Stopping the server
/// wakes only one of several idle threads.
constexpr Milliseconds ThreadIdleTime{500};

Poco::Timespan timespan(Milliseconds Duration) {
  return Poco::Timespan(Poco::Timespan::TimeDiff(Duration.count()) * 1000);
}

/// State shared by all connections of a server.
struct ServerState {
  ServerState(HttpLimits Limits, HttpHandler Handler)
      : Limits(Limits), Handler(std::move(Handler)) {}

  const HttpLimits Limits;
  const HttpHandler Handler;
  std::atomic<bool> Closing{false};
  ReceiveWatchdog Watchdog;
};

HttpRequest toRequest(const Poco::Net::HTTPServerRequest &From) {
  HttpRequest Request;
  Request.Method = From.getMethod();
  const Poco::URI Uri(From.getURI());
  Request.Path = Uri.getPath();
  for (const auto &[Name, Value] : Uri.getQueryParameters())
    Request.Query[Name] = Value;
  for (const auto &[Name, Value] : From)
    Request.Headers[Poco::toLower(Name)] = Value;
  return Request;
}

/// Reads the body. Returns false when it is larger than \p Limit bytes.
bool readBody(std::istream &In, std::size_t Limit, std::string &Body) {
  std::string Block(ReadBlockBytes, '\0');
  std::size_t Total = 0;
  while (In.read(Block.data(), ReadBlockBytes) || In.gcount() > 0) {
    const auto Count = static_cast<std::size_t>(In.gcount());
    Total += Count;
    if (Total <= Limit)
      Body.append(Block, 0, Count);
    else if (Total > Limit + MaxDiscardedBytes)
      break;
  }
  return Total <= Limit;
}

class Connection : public Poco::Net::TCPServerConnection {
public:
  Connection(const Poco::Net::StreamSocket &Socket,
             Poco::Net::HTTPServerParams::Ptr Params, ServerState &State)
      : TCPServerConnection(Socket), Params(std::move(Params)), State(State) {}

  void run() override {
    Poco::Net::HTTPServerSession Session(socket(), Params);
    try {
      while (Session.hasMoreRequests() && serveOne(Session)) {
      }
    } catch (const Poco::Exception &) {
      // The client has closed the connection; no response can be sent.
    }
  }

private:
  /// Serves one request. Returns whether the connection stays open.
  bool serveOne(Poco::Net::HTTPServerSession &Session) {
    const std::uint64_t WatchId = State.Watchdog.watch(
        socket(), monotonicNow() + State.Limits.ReceiveTimeout);
    Poco::Net::HTTPServerResponseImpl Response(Session);
    try {
      Poco::Net::HTTPServerRequestImpl Request(Response, Session, Params);
      Response.setVersion(Request.getVersion());
      Response.setKeepAlive(Request.getKeepAlive());
      if (Request.getExpectContinue())
        Response.sendContinue();
      HttpRequest Received = toRequest(Request);
      const bool BodyFits =
          readBody(Request.stream(), State.Limits.BodyBytes, Received.Body);
      if (!State.Watchdog.release(WatchId))
        return false;
      if (isTruncated(Request, Received, BodyFits))
        return false;
      const HttpResponse Answer =
          BodyFits ? State.Handler(Received)
                   : errorResponse(ResultCode::BodyTooLarge,
                                   "The body is larger than " +
                                       std::to_string(State.Limits.BodyBytes) +
                                       " bytes.");
      return send(Response, Answer, BodyFits);
    } catch (const Poco::Net::MessageException &Err) {
      State.Watchdog.release(WatchId);
      send(Response,
           errorResponse(ResultCode::HeadersTooLarge,
                         "The header cannot be parsed: " + Err.displayText() +
                             "."),
           false);
      return false;
    } catch (...) {
      State.Watchdog.release(WatchId);
      throw;
    }
  }

  static bool isTruncated(const Poco::Net::HTTPServerRequest &Request,
                          const HttpRequest &Received, bool BodyFits) {
    return BodyFits && Request.hasContentLength() &&
           Received.Body.size() != std::size_t(Request.getContentLength64());
  }

  bool send(Poco::Net::HTTPServerResponseImpl &Response,
            const HttpResponse &Answer, bool MayKeepAlive) const {
    const bool KeepAlive =
        MayKeepAlive && !State.Closing && Response.getKeepAlive();
    Response.setStatus(std::to_string(Answer.Status));
    Response.setReason(Poco::Net::HTTPResponse::getReasonForStatus(
        static_cast<Poco::Net::HTTPResponse::HTTPStatus>(Answer.Status)));
    Response.setContentType(Answer.ContentType);
    Response.setContentLength(static_cast<std::streamsize>(Answer.Body.size()));
    Response.setKeepAlive(KeepAlive);
    for (const auto &[Name, Value] : Answer.Headers)
      Response.set(Name, Value);
    Response.send() << Answer.Body << std::flush;
    return KeepAlive;
  }

  Poco::Net::HTTPServerParams::Ptr Params;
  ServerState &State;
};

class ConnectionFactory : public Poco::Net::TCPServerConnectionFactory {
public:
  ConnectionFactory(Poco::Net::HTTPServerParams::Ptr Params, ServerState &State)
      : Params(std::move(Params)), State(State) {}

  Poco::Net::TCPServerConnection *
  createConnection(const Poco::Net::StreamSocket &Socket) override {
    return new Connection(Socket, Params, State);
  }

private:
  Poco::Net::HTTPServerParams::Ptr Params;
  ServerState &State;
};

class PocoHttpServer : public HttpServer {
public:
  PocoHttpServer(const std::string &Address, const HttpLimits &Limits,
                 HttpHandler Handler)
      : State(Limits, std::move(Handler)),
        Pool(2, static_cast<int>(Limits.Threads), 60, ThreadStackBytes) {
    Poco::Net::ServerSocket Socket;
    Socket.bind(Poco::Net::SocketAddress(Address), true, false);
    Socket.listen(ListenBacklog);
    BoundAddress = Socket.address().toString();
    Poco::Net::HTTPServerParams::Ptr Params = new Poco::Net::HTTPServerParams;
    Params->setMaxThreads(static_cast<int>(Limits.Threads));
    Params->setThreadIdleTime(timespan(ThreadIdleTime));
    Params->setMaxQueued(static_cast<int>(Limits.Connections));
    Params->setKeepAlive(true);
    Params->setKeepAliveTimeout(timespan(Limits.IdleTimeout));
    Params->setTimeout(timespan(Limits.ReceiveTimeout));
    Params->setMaxKeepAliveRequests(0);
    Server = std::make_unique<Poco::Net::TCPServer>(
        new ConnectionFactory(Params, State), Pool, Socket, Params);
    Server->start();
  }

  ~PocoHttpServer() override {
    Server->stop();
    Pool.joinAll();
  }

  std::string address() const override { return BoundAddress; }

  void closeAfterResponses() override { State.Closing = true; }

  bool drain(Milliseconds Timeout) override {
    State.Closing = true;
    Server->stop();
    const Instant Deadline = monotonicNow() + Timeout;
    // Each open connection has a thread. The length of the queue does not tell:
    // stop() can leave a message to the threads in it.
    while (Server->currentThreads() > 0) {
      if (monotonicNow() >= Deadline)
        return false;
      std::this_thread::sleep_for(DrainPollPeriod);
    }
    return true;
  }

private:
  ServerState State;
  Poco::ThreadPool Pool;
  std::string BoundAddress;
  std::unique_ptr<Poco::Net::TCPServer> Server;
};

} // namespace

std::string HttpRequest::header(const std::string &Name) const {
  const auto Found = Headers.find(Name);
  return Found == Headers.end() ? std::string() : Found->second;
}

std::string HttpRequest::query(const std::string &Name) const {
  const auto Found = Query.find(Name);
  return Found == Query.end() ? std::string() : Found->second;
}

Expected<std::unique_ptr<HttpServer>> serveHttp(const std::string &Address,
                                                const HttpLimits &Limits,
                                                HttpHandler Handler) {
  try {
    return std::make_unique<PocoHttpServer>(Address, Limits,
                                            std::move(Handler));
  } catch (const Poco::Exception &Err) {
    return failure(ResultCode::SettingsInvalid,
                   "Cannot listen on " + Address + ": " + Err.displayText());
  }
}

HttpResponse errorResponse(ResultCode Code, const std::string &Detail) {
  const ResultInfo &Info = resultInfo(Code);
  Poco::JSON::Object Body(Poco::JSON_PRESERVE_KEY_ORDER);
  Body.set("code", static_cast<std::uint32_t>(Code));
  Body.set("name", std::string(Info.Name));
  Body.set("outcome", std::string(outcomeName(Info.RunOutcome)));
  Body.set("detail", Detail);
  Body.set("next_step", std::string(Info.NextStep));
  std::ostringstream Out;
  Body.stringify(Out);
  HttpResponse Response;
  Response.Status = Info.HttpStatus == 200 ? 500 : Info.HttpStatus;
  Response.Body = Out.str();
  Response.Headers["X-Outcome"] = std::string(outcomeName(Info.RunOutcome));
  if (Response.Status == 503 || Response.Status == 429)
    Response.Headers["Retry-After"] = "1";
  return Response;
}

HttpResponse errorResponse(const Error &Err) {
  return errorResponse(Err.Code, Err.Detail);
}

} // namespace baobabcove
