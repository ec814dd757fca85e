/// \file
/// HTTP calls to the platform, workers and minions, over POCO's client.

#ifndef BAOBABCOVE_BASE_HTTPCLIENT_H
#define BAOBABCOVE_BASE_HTTPCLIENT_H

#include "baobabcove/Clock.h"
#include "baobabcove/ResultCode.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <Poco/Net/HTTPClientSession.h>
#include <google/protobuf/message.h>

namespace baobabcove {

/// An answer as it came over the wire.
struct HttpAnswer {
  int Status = 0;
  std::string Body;
  std::string ContentType;
};

/// One HTTP call.
struct HttpCall {
  std::string Method = "POST";
  std::string Path;
  std::string Body;
  std::string ContentType = "application/json";
  std::map<std::string, std::string> Headers;
  /// Bound on connecting and on each wait for bytes.
  Milliseconds Patience{2000};
  /// Opens a connection of its own, so that a call which must not be repeated
  /// never meets one that the other end has just closed.
  bool OwnConnection = false;
};

/// Keeps idle connections to one address. Thread-safe.
class HttpClient {
public:
  /// \p Address is "ip:port".
  explicit HttpClient(std::string Address);

  /// Makes the call. Fails with PeerUnreachable when no connection could be
  /// made, in which case nothing was sent, and with OutcomeUnknown when the
  /// connection broke or fell silent after bytes had gone out.
  Expected<HttpAnswer> call(const HttpCall &Call);

  /// Makes the call with \p Request as a JSON body and reads a JSON answer
  /// into \p Reply. Statuses other than 200 fail with OutcomeUnknown.
  Expected<void> callJson(const std::string &Path,
                          const google::protobuf::Message &Request,
                          google::protobuf::Message &Reply,
                          Milliseconds Patience);

  const std::string &address() const { return Address; }

private:
  using Session = std::unique_ptr<Poco::Net::HTTPClientSession>;
  Session take(const HttpCall &Call);
  void giveBack(Session Idle);
  /// Closes the idle connections: when one has fallen silent, those opened
  /// beside it usually have too.
  void forgetIdle();

  const std::string Address;
  std::mutex Mutex;
  std::vector<Session> IdleSessions;
};

/// JSON of \p Message, with the field names of the schema.
std::string toJson(const google::protobuf::Message &Message);

/// Reads JSON into \p Message. Fails with MalformedRequest for broken JSON,
/// unknown fields and numbers that do not fit.
Expected<void> fromJson(const std::string &Json,
                        google::protobuf::Message &Message);

} // namespace baobabcove

#endif // BAOBABCOVE_BASE_HTTPCLIENT_H
