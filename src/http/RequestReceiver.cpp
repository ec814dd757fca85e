#include "http/RequestReceiver.h"

#include <algorithm>
#include <sstream>

#include <Poco/Net/HTTPRequest.h>
#include <Poco/NumberParser.h>
#include <Poco/String.h>
#include <Poco/URI.h>

namespace baobabcove {

namespace {

/// The buffer of an idle connection keeps at most this capacity.
constexpr std::size_t KeptBufferBytes = 1024;
constexpr std::size_t FirstBodyBytes = 4096;

/// Returns the length of the header with the empty line at its end, or npos.
std::size_t headerEnd(const std::string &Text, std::size_t From) {
  for (std::size_t End = Text.find('\n', From); End != std::string::npos;
       End = Text.find('\n', End + 1)) {
    if (Text.compare(End + 1, 1, "\n") == 0)
      return End + 2;
    if (Text.compare(End + 1, 2, "\r\n") == 0)
      return End + 3;
  }
  return std::string::npos;
}

/// Whether POCO refused a header for its size. A message such as "method
/// invalid or too long" is about malformed ones, since the size of the whole
/// header has been checked before.
bool isTooLong(const std::string &Message) {
  return Message.find("Too many") != std::string::npos ||
         (Message.find("too long") != std::string::npos &&
          Message.find("invalid") == std::string::npos);
}

HttpRequest toRequest(const Poco::Net::HTTPRequest &From) {
  HttpRequest Request;
  Request.Method = From.getMethod();
  const Poco::URI Uri(From.getURI());
  Request.Path = Uri.getPath();
  for (const auto &[Name, Value] : Uri.getQueryParameters())
    Request.Query[Name] = Value;
  for (const auto &[Name, Value] : From) {
    const auto [Field, IsFirst] =
        Request.Headers.try_emplace(Poco::toLower(Name), Value);
    if (!IsFirst)
      Field->second += ", " + Value;
  }
  return Request;
}

/// Appends \p Bytes to \p Body and grows its capacity by doubling, but not
/// beyond \p Most. Copies into a new string, since growing an existing one at
/// least doubles it.
void appendWithin(std::string &Body, std::string_view Bytes, std::size_t Most) {
  const std::size_t Needed = Body.size() + Bytes.size();
  if (Needed > Body.capacity()) {
    std::string Grown;
    Grown.reserve(std::max(
        Needed, std::min(Most, std::max(FirstBodyBytes, 2 * Body.size()))));
    Grown.append(Body);
    Body = std::move(Grown);
  }
  Body.append(Bytes);
}

} // namespace

RequestReceiver::State RequestReceiver::add(std::string_view Bytes,
                                            const HttpLimits &Limits) {
  // Content that does not need decoding is not copied twice.
  if (Current == State::InBody && !Chunks && Buffer.empty()) {
    const std::size_t Count =
        std::min(Bytes.size(), BodyLength - Request.Body.size());
    appendWithin(Request.Body, Bytes.substr(0, Count), BodyLength);
    Bytes.remove_prefix(Count);
  }
  Buffer.append(Bytes);
  return Current == State::InBody ? readBody(Limits) : readHeader(Limits);
}

RequestReceiver::State RequestReceiver::next(const HttpLimits &Limits) {
  Request = HttpRequest();
  Chunks.reset();
  BodyLength = 0;
  Searched = 0;
  if (Buffer.size() < KeptBufferBytes && Buffer.capacity() > KeptBufferBytes)
    Buffer.shrink_to_fit();
  return readHeader(Limits);
}

HttpRequest RequestReceiver::take() {
  HttpRequest Taken = std::move(Request);
  Request = HttpRequest();
  Request.Method = Taken.Method;
  return Taken;
}

bool RequestReceiver::takeExpectation() {
  const bool Expected = ExpectsContinue;
  ExpectsContinue = false;
  return Expected;
}

RequestReceiver::State RequestReceiver::refuse(ResultCode Code,
                                               std::string Detail) {
  Problem = Error{Code, std::move(Detail)};
  KeepAlive = false;
  Buffer = std::string();
  Request = HttpRequest();
  return Current = State::Refused;
}

RequestReceiver::State RequestReceiver::refuseVersion() {
  Version = Poco::Net::HTTPMessage::HTTP_1_1;
  return refuse(ResultCode::MalformedRequest,
                "The request is not of HTTP/1.0 or HTTP/1.1.");
}

RequestReceiver::State RequestReceiver::readHeader(const HttpLimits &Limits) {
  // Empty lines before a request are permitted.
  const std::size_t Start =
      std::min(Buffer.find_first_not_of("\r\n"), Buffer.size());
  Buffer.erase(0, Start);
  if (Buffer.empty())
    return Current = State::Empty;
  const std::size_t End = headerEnd(Buffer, Searched);
  if (std::min(End, Buffer.size()) > Limits.HeaderBytes)
    return refuse(ResultCode::HeadersTooLarge,
                  "The header is larger than " +
                      std::to_string(Limits.HeaderBytes) + " bytes.");
  if (End == std::string::npos) {
    // An end may begin with one of the last two bytes.
    Searched = Buffer.size() > 2 ? Buffer.size() - 2 : 0;
    return Current = State::InHeader;
  }
  const std::string Text = Buffer.substr(0, End);
  Buffer.erase(0, End);
  Searched = 0;
  return parseHeader(Text, Limits);
}

RequestReceiver::State RequestReceiver::parseHeader(const std::string &Text,
                                                    const HttpLimits &Limits) {
  const auto Lines =
      static_cast<std::size_t>(std::count(Text.begin(), Text.end(), '\n'));
  // The request line and the empty line are not fields.
  if (Lines > Limits.HeaderFields + 2)
    return refuse(ResultCode::HeadersTooLarge,
                  "The header has more than " +
                      std::to_string(Limits.HeaderFields) + " fields.");
  try {
    Poco::Net::HTTPRequest Header;
    Header.setFieldLimit(static_cast<int>(Limits.HeaderFields));
    std::istringstream In(Text);
    Header.read(In);
    Version = Header.getVersion();
    if (Version != Poco::Net::HTTPMessage::HTTP_1_1 &&
        Version != Poco::Net::HTTPMessage::HTTP_1_0)
      return refuseVersion();
    KeepAlive = Header.getKeepAlive();
    ExpectsContinue = Header.getExpectContinue();
    Request = toRequest(Header);
    std::optional<std::string> Length;
    if (Header.has("Content-Length"))
      Length = Header.get("Content-Length");
    return beginBody(Limits, Header.has("Transfer-Encoding"), Length);
  } catch (const Poco::Exception &Exception) {
    const std::string Message = Exception.displayText();
    return refuse(isTooLong(Message) ? ResultCode::HeadersTooLarge
                                     : ResultCode::MalformedRequest,
                  "The header cannot be parsed: " + Message + ".");
  }
}

RequestReceiver::State
RequestReceiver::beginBody(const HttpLimits &Limits, bool Chunked,
                           const std::optional<std::string> &Length) {
  // A request with both could be understood in two ways.
  if (Chunked && (Length || Poco::icompare(Request.header("transfer-encoding"),
                                           "chunked") != 0))
    return refuse(ResultCode::MalformedRequest,
                  "The length of the body is ambiguous.");
  if (Chunked)
    Chunks.emplace();
  Poco::UInt64 Announced = 0;
  if (Length && (Length->empty() ||
                 Length->find_first_not_of("0123456789") != std::string::npos ||
                 !Poco::NumberParser::tryParseUnsigned64(*Length, Announced)))
    return refuse(ResultCode::MalformedRequest,
                  "Content-Length is not a number.");
  if (Announced > Limits.BodyBytes)
    return refuse(ResultCode::BodyTooLarge,
                  "The body is larger than " +
                      std::to_string(Limits.BodyBytes) + " bytes.");
  BodyLength = static_cast<std::size_t>(Announced);
  Current = State::InBody;
  return readBody(Limits);
}

RequestReceiver::State RequestReceiver::readBody(const HttpLimits &Limits) {
  return Chunks ? readChunks(Limits) : readFixedBody();
}

RequestReceiver::State RequestReceiver::readFixedBody() {
  const std::size_t Count =
      std::min(Buffer.size(), BodyLength - Request.Body.size());
  if (Count > 0) {
    appendWithin(Request.Body, std::string_view(Buffer).substr(0, Count),
                 BodyLength);
    Buffer.erase(0, Count);
  }
  if (Buffer.empty() && Buffer.capacity() > KeptBufferBytes)
    Buffer = std::string();
  return Current = Request.Body.size() == BodyLength ? State::Complete
                                                     : State::InBody;
}

RequestReceiver::State RequestReceiver::readChunks(const HttpLimits &Limits) {
  std::size_t Consumed = 0;
  const ChunkedBody::State Decoded =
      Chunks->decode(Buffer, Limits.BodyBytes, Request.Body, Consumed);
  Buffer.erase(0, Consumed);
  switch (Decoded) {
  case ChunkedBody::State::Incomplete:
    return Current = State::InBody;
  case ChunkedBody::State::Complete:
    return Current = State::Complete;
  case ChunkedBody::State::TooLarge:
    return refuse(ResultCode::BodyTooLarge,
                  "The body is larger than " +
                      std::to_string(Limits.BodyBytes) + " bytes.");
  case ChunkedBody::State::Malformed:
    break;
  }
  return refuse(ResultCode::MalformedRequest,
                "The body is not in valid chunked coding.");
}

} // namespace baobabcove
