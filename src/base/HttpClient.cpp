#include "base/HttpClient.h"

#include <algorithm>
#include <array>
#include <limits>
#include <sstream>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <google/protobuf/reflection.h>
#include <google/protobuf/util/json_util.h>

namespace baobabcove {

namespace {

constexpr std::size_t MaxIdleSessions = 16;
/// Shorter than the time for which servers keep an idle connection.
constexpr Milliseconds KeepAliveTimeout{2000};
constexpr int MaxResponseFields = 100;
/// The body of a response must arrive within this multiple of the timeout of a
/// read. Without it, a peer that sends a byte now and then holds a call for any
/// time.
constexpr int TotalTimeoutFactor = 4;

Poco::Timespan timespan(Milliseconds Duration) {
  return Poco::Timespan(Poco::Timespan::TimeDiff(Duration.count()) * 1000);
}

bool isTruncated(const Poco::Net::HTTPResponse &Header,
                 const std::string &Body) {
  return Header.hasContentLength() &&
         Body.size() != std::size_t(Header.getContentLength64());
}

/// Reads a body. Returns false when it exceeds \p MaxBytes or is not complete
/// by \p Deadline.
bool readBody(std::istream &In, std::size_t MaxBytes, Instant Deadline,
              std::string &Body) {
  std::array<char, 8192> Block;
  while (monotonicNow() < Deadline) {
    // One blocking read at most, so that the deadline is checked.
    if (In.peek() == std::istream::traits_type::eof())
      return true;
    const std::streamsize Count = In.readsome(Block.data(), Block.size());
    if (Body.size() + static_cast<std::size_t>(Count) > MaxBytes)
      return false;
    Body.append(Block.data(), static_cast<std::size_t>(Count));
  }
  return false;
}

/// Whether any 64-bit field has its largest value. On some architectures the
/// JSON parser gives it this value instead of refusing a number that is out of
/// range.
bool hasSaturatedNumber(const google::protobuf::Message &Message) {
  using google::protobuf::FieldDescriptor;
  const google::protobuf::Reflection &Fields = *Message.GetReflection();
  std::vector<const FieldDescriptor *> Present;
  Fields.ListFields(Message, &Present);
  const auto IsSaturated = [&](const FieldDescriptor *Field) {
    if (Field->cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE) {
      if (!Field->is_repeated())
        return hasSaturatedNumber(Fields.GetMessage(Message, Field));
      const auto Elements =
          Fields.GetRepeatedFieldRef<google::protobuf::Message>(Message, Field);
      return std::any_of(Elements.begin(), Elements.end(), &hasSaturatedNumber);
    }
    if (Field->is_repeated())
      return false;
    if (Field->cpp_type() == FieldDescriptor::CPPTYPE_UINT64)
      return Fields.GetUInt64(Message, Field) ==
             std::numeric_limits<std::uint64_t>::max();
    return Field->cpp_type() == FieldDescriptor::CPPTYPE_INT64 &&
           Fields.GetInt64(Message, Field) ==
               std::numeric_limits<std::int64_t>::max();
  };
  return std::any_of(Present.begin(), Present.end(), IsSaturated);
}

} // namespace

/// A connection that can be prevented from being replaced by another one to the
/// same address, as the base class does before and during a call.
class HttpClient::Connection : public Poco::Net::HTTPClientSession {
public:
  using HTTPClientSession::HTTPClientSession;

  /// Whether the next call can be made over it. An idle connection is readable
  /// only if the peer has closed it.
  bool isUsable() {
    return !HTTPClientSession::mustReconnect() &&
           !socket().poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
  }
  void neverReconnect() { MayReconnect = false; }

protected:
  int write(const char *Buffer, std::streamsize Length) override {
    if (MayReconnect)
      return HTTPClientSession::write(Buffer, Length);
    // The base class would repeat the call over a new connection.
    return socket().sendBytes(Buffer, static_cast<int>(Length));
  }
  bool mustReconnect() const override {
    return MayReconnect && HTTPClientSession::mustReconnect();
  }

private:
  bool MayReconnect = true;
};

HttpClient::HttpClient(std::string Address) : Address(std::move(Address)) {}

HttpClient::~HttpClient() = default;

HttpClient::Session HttpClient::acquireIdle() {
  const std::lock_guard<std::mutex> Lock(Mutex);
  while (!IdleSessions.empty()) {
    Session Last = std::move(IdleSessions.back());
    IdleSessions.pop_back();
    if (Last->isUsable())
      return Last;
  }
  return nullptr;
}

HttpClient::Session HttpClient::open() const {
  auto New = std::make_unique<Connection>(Poco::Net::SocketAddress(Address));
  New->setKeepAlive(true);
  New->setKeepAliveTimeout(timespan(KeepAliveTimeout));
  return New;
}

void HttpClient::release(Session Idle) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (IdleSessions.size() < MaxIdleSessions)
    IdleSessions.push_back(std::move(Idle));
}

void HttpClient::closeIdle() {
  const std::lock_guard<std::mutex> Lock(Mutex);
  IdleSessions.clear();
}

Expected<HttpClientResponse>
HttpClient::exchange(Connection &Over, const HttpCall &Call, bool &Sent) const {
  Over.setTimeout(timespan(Call.Timeout));
  Poco::Net::HTTPRequest Request(Call.Method, Call.Path,
                                 Poco::Net::HTTPRequest::HTTP_1_1);
  Request.setKeepAlive(true);
  Request.setContentType(Call.ContentType);
  Request.setContentLength(static_cast<std::streamsize>(Call.Body.size()));
  for (const auto &[Name, Value] : Call.Headers)
    Request.set(Name, Value);
  std::ostream &Out = Over.sendRequest(Request);
  Sent = true;
  Out << Call.Body << std::flush;
  Poco::Net::HTTPResponse Header;
  Header.setFieldLimit(MaxResponseFields);
  std::istream &In = Over.receiveResponse(Header);
  HttpClientResponse Response;
  Response.Status = Header.getStatus();
  Response.ContentType = Header.getContentType();
  Response.KeepsConnection = Header.getKeepAlive();
  if (!readBody(In, Call.MaxResponseBytes,
                monotonicNow() + TotalTimeoutFactor * Call.Timeout,
                Response.Body))
    return failure(ResultCode::OutcomeUnknown,
                   "The response of " + Address +
                       " is too large or does not end.");
  if (isTruncated(Header, Response.Body))
    return failure(ResultCode::OutcomeUnknown,
                   "The response of " + Address + " is truncated.");
  return Response;
}

Expected<HttpClientResponse> HttpClient::call(const HttpCall &Call) {
  bool Sent = false;
  try {
    Session Over = Call.NewConnection ? nullptr : acquireIdle();
    if (!Over) {
      Over = open();
      if (Call.Handshake) {
        bool HandshakeSent = false;
        const auto Identity =
            exchange(*Over, Call.Handshake->Call, HandshakeSent);
        if (!Identity)
          return failure(ResultCode::PeerUnreachable, Identity.error().Detail);
        if (!Call.Handshake->Accepts(*Identity))
          return failure(ResultCode::PeerReplaced,
                         "Another process answers at " + Address + ".");
        if (!Identity->KeepsConnection)
          Over = open();
      }
    }
    if (Call.Handshake)
      Over->neverReconnect();
    auto Response = exchange(*Over, Call, Sent);
    if (Response && Response->KeepsConnection)
      release(std::move(Over));
    return Response;
  } catch (const Poco::Exception &Exception) {
    closeIdle();
    return failure(
        Sent ? ResultCode::OutcomeUnknown : ResultCode::PeerUnreachable,
        "HTTP call to " + Address + " failed: " + Exception.displayText());
  }
}

Expected<void> HttpClient::callJson(const std::string &Path,
                                    const google::protobuf::Message &Request,
                                    google::protobuf::Message &Reply,
                                    Milliseconds Timeout) {
  HttpCall Call;
  Call.Path = Path;
  Call.Body = toJson(Request);
  Call.Timeout = Timeout;
  auto Response = call(Call);
  if (!Response)
    return tl::unexpected<Error>(Response.error());
  if (Response->Status != Poco::Net::HTTPResponse::HTTP_OK)
    return failure(ResultCode::OutcomeUnknown,
                   Address + " answered status " +
                       std::to_string(Response->Status) + " to " + Path + ".");
  return fromJson(Response->Body, Reply);
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
  if (Status.ok() && hasSaturatedNumber(Message))
    return failure(ResultCode::MalformedRequest,
                   "A number in the " + Message.GetDescriptor()->name() +
                       " is out of range.");
  if (Status.ok())
    return {};
  return failure(ResultCode::MalformedRequest,
                 std::string(Status.message().data(), Status.message().size()));
}

} // namespace baobabcove
