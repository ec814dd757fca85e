#ifndef BAOBABCOVE_HTTP_HTTPSERVER_H
#define BAOBABCOVE_HTTP_HTTPSERVER_H

#include "base/MemoryBudget.h"
#include "base/Metrics.h"
#include "http/HttpLimits.h"
#include "http/HttpMessage.h"

#include <functional>
#include <memory>
#include <string>

namespace baobabcove {

/// Handles a request. Called concurrently from several threads.
using HttpHandler = std::function<HttpResponse(const HttpRequest &)>;

/// What the servers of a process share, and how a server counts towards it.
struct HttpResources {
  /// Prefix of the counters and the "server" field of log lines.
  std::string Name = "http";
  /// Memory for all messages; null for a budget of this server alone.
  std::shared_ptr<MemoryBudget> Budget;
  MemoryShare Share = MemoryShare::Clients;
  /// Counts refusals by cause; may be null. Must outlive the server.
  Metrics *Stats = nullptr;
  /// Whether a request may use the threads that are reserved for probes and
  /// operators; null if no request may.
  std::function<bool(const HttpRequest &)> IsSystemRequest;
};

/// A listening HTTP server. Requests are collected without holding a thread;
/// a thread is used only while a complete request is handled. Clients that
/// exceed a limit are refused or disconnected. docs/design/untrusted-clients.md
/// describes the limits.
class HttpServer {
public:
  virtual ~HttpServer() = default;

  /// Returns the listening address with the bound port.
  virtual std::string address() const = 0;

  /// Replaces the limits, except for the number of threads.
  virtual void applyLimits(const HttpLimits &Limits) = 0;

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
                                                HttpHandler Handler,
                                                HttpResources Resources = {});

} // namespace baobabcove

#endif // BAOBABCOVE_HTTP_HTTPSERVER_H
