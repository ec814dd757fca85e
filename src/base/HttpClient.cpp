#include "base/HttpClient.h"

#include <sstream>

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>
#include <google/protobuf/util/json_util.h>

namespace baobabcove {

namespace {

constexpr std::size_t MaxIdleSessions = 16;
/// Shorter than the time for which servers keep an idle connection.
constexpr Milliseconds MaxIdle{2000};

Poco::Timespan timespan(Milliseconds Duration) {
  return Poco::Timespan(Poco::Timespan::TimeDiff(Duration.count()) * 1000);
}

/// An idle connection has nothing to read unless its other end closed it.
bool wasClosed(Poco::Net::HTTPClientSession &Idle) {
  return Idle.socket().poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
}

bool isCutShort(const Poco::Net::HTTPResponse &Response,
                const std::string &Body) {
  return Response.hasContentLength() &&
         Body.size() != std::size_t(Response.getContentLength64());
}

} // namespace

HttpClient::HttpClient(std::string Address) : Address(std::move(Address)) {}

HttpClient::Session HttpClient::take(const HttpCall &Call) {
  Session Taken;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    while (!Call.OwnConnection && !Taken && !IdleSessions.empty()) {
      if (!wasClosed(*IdleSessions.back()))
        Taken = std::move(IdleSessions.back());
      IdleSessions.pop_back();
    }
  }
  if (!Taken) {
    Taken = std::make_unique<Poco::Net::HTTPClientSession>(
        Poco::Net::SocketAddress(Address));
    Taken->setKeepAlive(true);
    Taken->setKeepAliveTimeout(timespan(MaxIdle));
  }
  Taken->setTimeout(timespan(Call.Patience));
  return Taken;
}

void HttpClient::giveBack(Session Idle) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (IdleSessions.size() < MaxIdleSessions)
    IdleSessions.push_back(std::move(Idle));
}

void HttpClient::forgetIdle() {
  const std::lock_guard<std::mutex> Lock(Mutex);
  IdleSessions.clear();
}

Expected<HttpAnswer> HttpClient::call(const HttpCall &Call) {
  bool Sent = false;
  try {
    Session Taken = take(Call);
    Poco::Net::HTTPRequest Request(Call.Method, Call.Path,
                                   Poco::Net::HTTPRequest::HTTP_1_1);
    Request.setKeepAlive(true);
    Request.setContentType(Call.ContentType);
    Request.setContentLength(static_cast<std::streamsize>(Call.Body.size()));
    for (const auto &[Name, Value] : Call.Headers)
      Request.set(Name, Value);
    std::ostream &Out = Taken->sendRequest(Request);
    Sent = true;
    Out << Call.Body << std::flush;
    Poco::Net::HTTPResponse Response;
    std::istream &In = Taken->receiveResponse(Response);
    HttpAnswer Answer;
    Answer.Status = Response.getStatus();
    Answer.ContentType = Response.getContentType();
    Poco::StreamCopier::copyToString(In, Answer.Body);
    if (isCutShort(Response, Answer.Body))
      return failure(ResultCode::OutcomeUnknown,
                     "The answer of " + Address + " broke off.");
    if (Response.getKeepAlive())
      giveBack(std::move(Taken));
    return Answer;
  } catch (const Poco::Exception &Fault) {
    forgetIdle();
    return failure(
        Sent ? ResultCode::OutcomeUnknown : ResultCode::PeerUnreachable,
        "HTTP call to " + Address + " failed: " + Fault.displayText());
  }
}

Expected<void> HttpClient::callJson(const std::string &Path,
                                    const google::protobuf::Message &Request,
                                    google::protobuf::Message &Reply,
                                    Milliseconds Patience) {
  HttpCall Call;
  Call.Path = Path;
  Call.Body = toJson(Request);
  Call.Patience = Patience;
  auto Answer = call(Call);
  if (!Answer)
    return tl::unexpected<Error>(Answer.error());
  if (Answer->Status != Poco::Net::HTTPResponse::HTTP_OK)
    return failure(ResultCode::OutcomeUnknown,
                   Address + " answered " + std::to_string(Answer->Status) +
                       " to " + Path + ".");
  return fromJson(Answer->Body, Reply);
}

std::string toJson(const google::protobuf::Message &Message) {
  google::protobuf::util::JsonPrintOptions Options;
  Options.preserve_proto_field_names = true;
  std::string Json;
  (void)google::protobuf::util::MessageToJsonString(Message, &Json, Options);
  return Json;
}

Expected<void> fromJson(const std::string &Json,
                        google::protobuf::Message &Message) {
  const auto Status =
      google::protobuf::util::JsonStringToMessage(Json, &Message);
  if (Status.ok())
    return {};
  return failure(ResultCode::MalformedRequest,
                 std::string(Status.message().data(), Status.message().size()));
}

} // namespace baobabcove
