#ifndef BAOBABCOVE_BASE_HTTPCLIENT_H
#define BAOBABCOVE_BASE_HTTPCLIENT_H

#include "baobabcove/Clock.h"
#include "baobabcove/ResultCode.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <google/protobuf/message.h>

namespace baobabcove {

/// The response to an HTTP call.
struct HttpClientResponse {
  int Status = 0;
  std::string Body;
  std::string ContentType;
  /// Whether the peer leaves the connection open for further calls.
  bool KeepsConnection = false;
};

struct HttpHandshake;

/// The request of one HTTP call.
struct HttpCall {
  std::string Method = "POST";
  std::string Path;
  std::string Body;
  std::string ContentType = "application/json";
  std::map<std::string, std::string> Headers;
  /// Timeout of connecting, and of each read and write.
  Milliseconds Timeout{2000};
  /// A larger response counts as lost.
  std::size_t MaxResponseBytes = 16 << 20;
  /// Opens a new connection. Set for a call that must not be repeated, since
  /// the peer may just have closed an idle connection.
  bool NewConnection = false;
  /// Precedes the call on a new connection, if set. The call is then made over
  /// that very connection, or not at all.
  std::shared_ptr<const HttpHandshake> Handshake;
};

/// A call that identifies the process at the other end of a new connection. All
/// later calls over the connection reach the same process.
struct HttpHandshake {
  HttpCall Call;
  /// Whether the response is that of the intended process.
  std::function<bool(const HttpClientResponse &)> Accepts;
};

/// HTTP client of one address, which keeps idle connections for later calls.
/// Thread-safe.
class HttpClient {
public:
  /// \p Address is "ip:port".
  explicit HttpClient(std::string Address);
  ~HttpClient();

  /// Makes the call. Fails with PeerUnreachable when no connection could be
  /// made, so that nothing was sent, and with OutcomeUnknown when the
  /// connection broke or timed out after the request was sent in part or whole.
  /// Fails with PeerReplaced when the handshake was not accepted, so that only
  /// the handshake was sent.
  ///
  /// A client whose calls have a handshake must make all its calls with one. A
  /// peer that closes each connection after one response gets the call over
  /// the next one.
  Expected<HttpClientResponse> call(const HttpCall &Call);

  /// Sends \p Request as JSON in a POST to \p Path and parses the JSON response
  /// into \p Reply. Fails as call does, with OutcomeUnknown when the status is
  /// not 200, and with MalformedRequest when the response cannot be parsed.
  Expected<void> callJson(const std::string &Path,
                          const google::protobuf::Message &Request,
                          google::protobuf::Message &Reply,
                          Milliseconds Timeout);

  const std::string &address() const { return Address; }

private:
  class Connection;
  using Session = std::unique_ptr<Connection>;
  /// Returns an idle connection, or null.
  Session acquireIdle();
  /// Returns a new connection, which is made with the first call.
  Session open() const;
  /// Makes the call over \p Over, and sets \p Sent once a part of it was sent.
  Expected<HttpClientResponse> exchange(Connection &Over, const HttpCall &Call,
                                        bool &Sent) const;
  void release(Session Idle);
  /// Closes all idle connections. Called after a failure on one connection,
  /// which usually affects the others as well.
  void closeIdle();

  const std::string Address;
  std::mutex Mutex;
  std::vector<Session> IdleSessions;
};

/// Serializes \p Message as JSON, with the field names of the schema.
std::string toJson(const google::protobuf::Message &Message);

/// Parses JSON into \p Message. Fails with MalformedRequest on invalid JSON,
/// unknown fields and numbers that are out of range.
Expected<void> fromJson(const std::string &Json,
                        google::protobuf::Message &Message);

} // namespace baobabcove

#endif // BAOBABCOVE_BASE_HTTPCLIENT_H
