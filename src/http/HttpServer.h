/// \file
/// The HTTP side of a process, over POCO's server classes.

#ifndef BAOBABCOVE_HTTP_HTTPSERVER_H
#define BAOBABCOVE_HTTP_HTTPSERVER_H

#include "baobabcove/Clock.h"
#include "baobabcove/ResultCode.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace baobabcove {

/// A request whose header and body have arrived whole.
struct HttpRequest {
  std::string Method;
  std::string Path;
  std::map<std::string, std::string> Query;
  /// Header names in lower case.
  std::map<std::string, std::string> Headers;
  std::string Body;

  /// The value of a header named in lower case, or an empty text.
  std::string header(const std::string &Name) const;
  /// The value of a query key, or an empty text.
  std::string query(const std::string &Name) const;
};

struct HttpResponse {
  int Status = 200;
  std::string Body;
  std::string ContentType = "application/json";
  std::map<std::string, std::string> Headers;
};

/// Limits of a server.
struct HttpLimits {
  std::size_t Threads = 64;
  std::size_t Connections = 1024;
  std::size_t BodyBytes = 1 << 20;
  /// Time for a request's header and body to arrive.
  Milliseconds Arrival{5000};
  /// Time for which an idle connection is kept.
  Milliseconds Idle{3000};
};

/// Answers a request. Called from several threads at once.
using HttpHandler = std::function<HttpResponse(const HttpRequest &)>;

/// A listening server. A sender that is slower than the limits is cut off and
/// holds no thread; malformed requests are answered without the handler.
class HttpServer {
public:
  virtual ~HttpServer() = default;

  /// The address with the real port.
  virtual std::string address() const = 0;

  /// From now on every answer asks its caller to close the connection.
  virtual void closeAfterAnswers() = 0;

  /// Stops listening and waits until the open connections have ended, at most
  /// \p Patience. Returns whether all have ended.
  virtual bool drain(Milliseconds Patience) = 0;
};

/// Serves on \p Address ("ip:port"); port 0 takes any free port. Fails with
/// SettingsInvalid when the address cannot be bound.
Expected<std::unique_ptr<HttpServer>> serveHttp(const std::string &Address,
                                                const HttpLimits &Limits,
                                                HttpHandler Handler);

/// The JSON refusal for \p Code, with its name, outcome and next step.
HttpResponse refusal(ResultCode Code, const std::string &Detail);

/// The refusal for an error.
HttpResponse refusal(const Error &Fault);

} // namespace baobabcove

#endif // BAOBABCOVE_HTTP_HTTPSERVER_H
