#ifndef BAOBABCOVE_ENTRY_REQUESTAPI_H
#define BAOBABCOVE_ENTRY_REQUESTAPI_H

#include "entry/EntryContext.h"

#include <atomic>

namespace baobabcove {

/// HTTP handlers for synchronous requests and tickets. Converts between HTTP
/// and the messages of the router.
class RequestApi {
public:
  explicit RequestApi(EntryContext &Context) : Context(Context) {}

  /// POST /v1/services/NAME/requests
  HttpResponse send(const HttpRequest &Request, const std::string &Service);

  /// POST /v1/services/NAME/tickets
  HttpResponse ticket(const HttpRequest &Request, const std::string &Service);

private:
  Expected<RouteRequest> parseRequest(const HttpRequest &Request,
                                      const std::string &Service,
                                      const Identity &Sender);
  Expected<void> checkRequestLimit(const std::string &Workspace) const;
  HttpResponse toResponse(const wire::ExecuteReply &Reply,
                          const std::string &RequestId) const;

  EntryContext &Context;
  std::atomic<std::uint64_t> NextRequestNumber{1};
};

} // namespace baobabcove

#endif // BAOBABCOVE_ENTRY_REQUESTAPI_H
