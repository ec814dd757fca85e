#include "http/HttpServer.h"

#include "base/Log.h"
#include "http/ArrivalWatchdog.h"

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
/// Bytes of an oversized body that are read and thrown away, so that the
/// sender sees the refusal instead of a broken connection.
constexpr std::size_t DiscardedBytes = 8 << 20;
constexpr std::size_t ReadBlock = 16384;
constexpr Milliseconds DrainLook{10};

Poco::Timespan timespan(Milliseconds Duration) {
  return Poco::Timespan(Poco::Timespan::TimeDiff(Duration.count()) * 1000);
}

/// What all connections of one server share.
struct ServerState {
  ServerState(HttpLimits Limits, HttpHandler Handler)
      : Limits(Limits), Handler(std::move(Handler)) {}

  const HttpLimits Limits;
  const HttpHandler Handler;
  std::atomic<bool> Closing{false};
  ArrivalWatchdog Watchdog;
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

/// Reads the body. Returns false when it is larger than the limit.
bool readBody(std::istream &In, std::size_t Limit, std::string &Body) {
  std::string Block(ReadBlock, '\0');
  std::size_t Total = 0;
  while (In.read(Block.data(), ReadBlock) || In.gcount() > 0) {
    const auto Count = static_cast<std::size_t>(In.gcount());
    Total += Count;
    if (Total <= Limit)
      Body.append(Block, 0, Count);
    else if (Total > Limit + DiscardedBytes)
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
      // The caller has gone; there is nobody to answer.
    }
  }

private:
  /// Serves one request; returns whether the connection stays open.
  bool serveOne(Poco::Net::HTTPServerSession &Session) {
    const std::uint64_t Watch =
        State.Watchdog.watch(socket(), monotonicNow() + State.Limits.Arrival);
    Poco::Net::HTTPServerResponseImpl Response(Session);
    try {
      Poco::Net::HTTPServerRequestImpl Request(Response, Session, Params);
      Response.setVersion(Request.getVersion());
      Response.setKeepAlive(Request.getKeepAlive());
      if (Request.getExpectContinue())
        Response.sendContinue();
      HttpRequest Arrived = toRequest(Request);
      const bool Fits =
          readBody(Request.stream(), State.Limits.BodyBytes, Arrived.Body);
      if (!State.Watchdog.release(Watch))
        return false;
      if (isCutShort(Request, Arrived, Fits))
        return false;
      const HttpResponse Answer =
          Fits
              ? State.Handler(Arrived)
              : refusal(ResultCode::BodyTooLarge,
                        "The body is larger than " +
                            std::to_string(State.Limits.BodyBytes) + " bytes.");
      return send(Response, Answer, Fits);
    } catch (const Poco::Net::MessageException &Fault) {
      State.Watchdog.release(Watch);
      send(Response,
           refusal(ResultCode::HeadersTooLarge,
                   "The header cannot be read: " + Fault.displayText() + "."),
           false);
      return false;
    } catch (...) {
      State.Watchdog.release(Watch);
      throw;
    }
  }

  static bool isCutShort(const Poco::Net::HTTPServerRequest &Request,
                         const HttpRequest &Arrived, bool Fits) {
    return Fits && Request.hasContentLength() &&
           Arrived.Body.size() != std::size_t(Request.getContentLength64());
  }

  bool send(Poco::Net::HTTPServerResponseImpl &Response,
            const HttpResponse &Answer, bool MayKeep) const {
    const bool Keep = MayKeep && !State.Closing && Response.getKeepAlive();
    Response.setStatus(std::to_string(Answer.Status));
    Response.setReason(Poco::Net::HTTPResponse::getReasonForStatus(
        static_cast<Poco::Net::HTTPResponse::HTTPStatus>(Answer.Status)));
    Response.setContentType(Answer.ContentType);
    Response.setContentLength(static_cast<std::streamsize>(Answer.Body.size()));
    Response.setKeepAlive(Keep);
    for (const auto &[Name, Value] : Answer.Headers)
      Response.set(Name, Value);
    Response.send() << Answer.Body << std::flush;
    return Keep;
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
  PocoHttpServer(const std::string &Wanted, const HttpLimits &Limits,
                 HttpHandler Handler)
      : State(Limits, std::move(Handler)),
        Pool(2, static_cast<int>(Limits.Threads), 60, ThreadStackBytes) {
    Poco::Net::ServerSocket Socket;
    Socket.bind(Poco::Net::SocketAddress(Wanted), true, false);
    Socket.listen(ListenBacklog);
    Bound = Socket.address().toString();
    Poco::Net::HTTPServerParams::Ptr Params = new Poco::Net::HTTPServerParams;
    Params->setMaxThreads(static_cast<int>(Limits.Threads));
    Params->setMaxQueued(static_cast<int>(Limits.Connections));
    Params->setKeepAlive(true);
    Params->setKeepAliveTimeout(timespan(Limits.Idle));
    Params->setTimeout(timespan(Limits.Arrival));
    Params->setMaxKeepAliveRequests(0);
    Server = std::make_unique<Poco::Net::TCPServer>(
        new ConnectionFactory(Params, State), Pool, Socket, Params);
    Server->start();
  }

  ~PocoHttpServer() override {
    Server->stop();
    Pool.joinAll();
  }

  std::string address() const override { return Bound; }

  void closeAfterAnswers() override { State.Closing = true; }

  bool drain(Milliseconds Patience) override {
    State.Closing = true;
    Server->stop();
    const Instant Deadline = monotonicNow() + Patience;
    while (Server->currentConnections() + Server->queuedConnections() > 0) {
      if (monotonicNow() >= Deadline)
        return false;
      std::this_thread::sleep_for(DrainLook);
    }
    return true;
  }

private:
  ServerState State;
  Poco::ThreadPool Pool;
  std::string Bound;
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
  } catch (const Poco::Exception &Fault) {
    return failure(ResultCode::SettingsInvalid,
                   "Cannot listen on " + Address + ": " + Fault.displayText());
  }
}

HttpResponse refusal(ResultCode Code, const std::string &Detail) {
  const ResultInfo &Info = resultInfo(Code);
  Poco::JSON::Object Body(Poco::JSON_PRESERVE_KEY_ORDER);
  Body.set("code", static_cast<std::uint32_t>(Code));
  Body.set("name", std::string(Info.Name));
  Body.set("outcome", std::string(outcomeName(Info.Ran)));
  Body.set("detail", Detail);
  Body.set("next_step", std::string(Info.NextStep));
  std::ostringstream Out;
  Body.stringify(Out);
  HttpResponse Response;
  Response.Status = Info.HttpStatus == 200 ? 500 : Info.HttpStatus;
  Response.Body = Out.str();
  Response.Headers["X-Outcome"] = std::string(outcomeName(Info.Ran));
  if (Response.Status == 503 || Response.Status == 429)
    Response.Headers["Retry-After"] = "1";
  return Response;
}

HttpResponse refusal(const Error &Fault) {
  return refusal(Fault.Code, Fault.Detail);
}

} // namespace baobabcove
