#ifndef BAOBABCOVE_HTTP_REQUESTRECEIVER_H
#define BAOBABCOVE_HTTP_REQUESTRECEIVER_H

#include "http/ChunkedBody.h"
#include "http/HttpLimits.h"
#include "http/HttpMessage.h"

#include <optional>
#include <string>
#include <string_view>

namespace baobabcove {

/// Collects the requests of one connection from the pieces in which they
/// arrive, within limits of their sizes. Holds at most one request and the
/// bytes that were read after it.
class RequestReceiver {
public:
  enum class State {
    /// Nothing of the next request has arrived.
    Empty,
    InHeader,
    InBody,
    /// take() returns the request.
    Complete,
    /// error() tells why; the connection must be closed.
    Refused
  };

  /// Adds received bytes. Must not be called while a request is complete.
  State add(std::string_view Bytes, const HttpLimits &Limits);
  /// Continues with the bytes that followed the request taken last.
  State next(const HttpLimits &Limits);
  State state() const { return Current; }

  /// The request as far as it has been received.
  const HttpRequest &request() const { return Request; }
  /// Returns the complete request. next() must be called afterwards.
  HttpRequest take();
  const Error &error() const { return Problem; }

  bool keepAlive() const { return KeepAlive; }
  bool isHead() const { return Request.Method == "HEAD"; }
  const std::string &version() const { return Version; }
  /// Whether the sender waits for "100 Continue"; true only once a request.
  bool takeExpectation();

  /// Returns the memory of the collected bytes.
  std::size_t bytesHeld() const {
    return Buffer.capacity() + Request.Body.capacity();
  }
  /// Returns the bytes of the body that have arrived.
  std::size_t bodyBytes() const { return Request.Body.size(); }

private:
  State refuse(ResultCode Code, std::string Detail);
  State refuseVersion();
  State readHeader(const HttpLimits &Limits);
  State parseHeader(const std::string &Text, const HttpLimits &Limits);
  State beginBody(const HttpLimits &Limits, bool Chunked,
                  const std::optional<std::string> &Length);
  State readBody(const HttpLimits &Limits);
  State readFixedBody();
  State readChunks(const HttpLimits &Limits);

  State Current = State::Empty;
  /// Bytes that have not been consumed.
  std::string Buffer;
  /// Bytes of Buffer that contain no end of a header.
  std::size_t Searched = 0;
  HttpRequest Request;
  std::string Version = "HTTP/1.1";
  bool KeepAlive = true;
  bool ExpectsContinue = false;
  std::optional<ChunkedBody> Chunks;
  std::size_t BodyLength = 0;
  Error Problem;
};

} // namespace baobabcove

#endif // BAOBABCOVE_HTTP_REQUESTRECEIVER_H
