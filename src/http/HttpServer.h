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

/// A completely received request.
struct HttpRequest {
  std::string Method;
  std::string Path;
  std::map<std::string, std::string> Query;
  /// Header names in lower case.
  std::map<std::string, std::string> Headers;
  std::string Body;

  /// Returns the value of the header \p Name (in lower case), or an empty
  /// string.
  std::string header(const std::string &Name) const;
  /// Returns the value of a query parameter, or an empty string.
  std::string query(const std::string &Name) const;
};

struct HttpResponse {
  int Status = 200;
  std::string Body;
  std::string ContentType = "application/json";
  std::map<std::string, std::string> Headers;
};

/// Resource limits of a server.
struct HttpLimits {
  std::size_t Threads = 64;
  std::size_t Connections = 1024;
  std::size_t BodyBytes = 1 << 20;
  /// Maximum time to receive a request's header and body.
  Milliseconds ReceiveTimeout{5000};
  /// Idle connections are closed after this time.
  Milliseconds IdleTimeout{3000};
};

/// Handles a request. Called concurrently from several threads.
using HttpHandler = std::function<HttpResponse(const HttpRequest &)>;

/// A listening HTTP server over POCO's server classes. Connections that exceed
/// the receive timeout are shut down, so that slow clients do not hold threads.
/// Malformed requests are answered without calling the handler.
class HttpServer {
public:
  virtual ~HttpServer() = default;

  /// Returns the listening address with the bound port.
  virtual std::string address() const = 0;

  /// Adds "Connection: close" to every response from now on.
  virtual void closeAfterResponses() = 0;

  /// Stops listening and waits at most \p Timeout for the open connections to
  /// end. Returns whether all have ended.
  virtual bool drain(Milliseconds Timeout) = 0;
};

/// Starts a server on \p Address ("ip:port"); port 0 selects a free port. Fails
/// with SettingsInvalid when the address cannot be bound.
Expected<std::unique_ptr<HttpServer>> serveHttp(const std::string &Address,
                                                const HttpLimits &Limits,
                                                HttpHandler Handler);

/// Returns the JSON error response for \p Code, with its name, outcome and next
/// step.
HttpResponse errorResponse(ResultCode Code, const std::string &Detail);

/// Returns the JSON error response for \p Err.
HttpResponse errorResponse(const Error &Err);

} // namespace baobabcove

#endif // BAOBABCOVE_HTTP_HTTPSERVER_H
