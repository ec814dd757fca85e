/// \file
/// Callers' synchronous requests, and tickets for them.

#ifndef BAOBABCOVE_ENTRY_REQUESTAPI_H
#define BAOBABCOVE_ENTRY_REQUESTAPI_H

#include "entry/EntryContext.h"

#include <atomic>

namespace baobabcove {

/// Turns HTTP requests into routed ones and outcomes into HTTP answers.
class RequestApi {
public:
  explicit RequestApi(EntryContext &Context) : Context(Context) {}

  /// POST /v1/services/NAME/requests
  HttpResponse send(const HttpRequest &Request, const std::string &Service);

  /// POST /v1/services/NAME/tickets
  HttpResponse ticket(const HttpRequest &Request, const std::string &Service);

private:
  Expected<RouteRequest> read(const HttpRequest &Request,
                              const std::string &Service,
                              const Identity &Sender);
  Expected<void> checkLimit(const std::string &Workspace) const;
  HttpResponse answer(const wire::ExecuteReply &Reply,
                      const std::string &RequestId) const;

  EntryContext &Context;
  std::atomic<std::uint64_t> NextNumber{1};
};

} // namespace baobabcove

#endif // BAOBABCOVE_ENTRY_REQUESTAPI_H
