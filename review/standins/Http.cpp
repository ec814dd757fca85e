#include "Http.h"

#include <sstream>
#include <utility>

#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/String.h>
#include <Poco/URI.h>

namespace baobabcove::review {

namespace {

constexpr int MaxThreads = 128;

class RequestHandler : public Poco::Net::HTTPRequestHandler {
public:
  explicit RequestHandler(const Handler &Answer) : Answer(Answer) {}

  void handleRequest(Poco::Net::HTTPServerRequest &From,
                     Poco::Net::HTTPServerResponse &To) override {
    Request Message;
    Message.Method = From.getMethod();
    const Poco::URI Uri(From.getURI());
    Message.Path = Uri.getPath();
    for (const auto &[Name, Value] : Uri.getQueryParameters())
      Message.Query[Name] = Value;
    for (const auto &[Name, Value] : From)
      Message.Headers[Poco::toLower(Name)] = Value;
    Poco::StreamCopier::copyToString(From.stream(), Message.Body);
    const Response Reply = Answer(Message);
    if (Reply.IsLost) {
      static_cast<Poco::Net::HTTPServerRequestImpl &>(From).socket().shutdown();
      return;
    }
    To.setStatus(std::to_string(Reply.Status));
    To.setContentType("application/json");
    To.sendBuffer(Reply.Body.data(), Reply.Body.size());
  }

private:
  const Handler &Answer;
};

class HandlerFactory : public Poco::Net::HTTPRequestHandlerFactory {
public:
  explicit HandlerFactory(Handler Answer) : Answer(std::move(Answer)) {}

  Poco::Net::HTTPRequestHandler *
  createRequestHandler(const Poco::Net::HTTPServerRequest &) override {
    return new RequestHandler(Answer);
  }

private:
  const Handler Answer;
};

} // namespace

std::unique_ptr<Poco::Net::HTTPServer> serve(const std::string &Address,
                                             Handler Answer) {
  static Poco::ThreadPool Pool(2, MaxThreads);
  Poco::Net::ServerSocket Socket;
  Socket.bind(Poco::Net::SocketAddress(Address), true, false);
  Socket.listen(MaxThreads);
  Poco::Net::HTTPServerParams::Ptr Params = new Poco::Net::HTTPServerParams;
  Params->setMaxThreads(MaxThreads);
  Params->setKeepAlive(true);
  Params->setMaxKeepAliveRequests(0);
  auto Server = std::make_unique<Poco::Net::HTTPServer>(
      new HandlerFactory(std::move(Answer)), Pool, Socket, Params);
  Server->start();
  return Server;
}

Response call(const std::string &Address, const Request &Message,
              int TimeoutMs) {
  constexpr Poco::Timespan::TimeDiff MicrosecondsPerMs = 1000;
  Response Reply;
  Reply.Status = 0;
  Reply.Body.clear();
  try {
    Poco::Net::HTTPClientSession Session{Poco::Net::SocketAddress(Address)};
    Session.setTimeout(Poco::Timespan(TimeoutMs * MicrosecondsPerMs));
    Poco::Net::HTTPRequest Outgoing(Message.Method, Message.Path,
                                    Poco::Net::HTTPRequest::HTTP_1_1);
    for (const auto &[Name, Value] : Message.Headers)
      Outgoing.set(Name, Value);
    Outgoing.setContentType("application/json");
    Outgoing.setContentLength(
        static_cast<std::streamsize>(Message.Body.size()));
    Session.sendRequest(Outgoing) << Message.Body << std::flush;
    Poco::Net::HTTPResponse Header;
    std::istream &In = Session.receiveResponse(Header);
    Poco::StreamCopier::copyToString(In, Reply.Body);
    Reply.Status = Header.getStatus();
  } catch (const Poco::Exception &Failure) {
    Reply.Body = Failure.displayText();
  }
  return Reply;
}

JsonObject parse(const std::string &Text) {
  try {
    Poco::JSON::Parser Parser;
    return Parser.parse(Text).extract<JsonObject>();
  } catch (const Poco::Exception &) {
    return nullptr;
  }
}

std::string toText(const JsonObject &Object) {
  std::ostringstream Out;
  Object->stringify(Out);
  return Out.str();
}

Response answer(int Status, const JsonObject &Body) {
  Response Reply;
  Reply.Status = Status;
  Reply.Body = toText(Body);
  return Reply;
}

} // namespace baobabcove::review
