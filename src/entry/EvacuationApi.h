#ifndef BAOBABCOVE_ENTRY_EVACUATIONAPI_H
#define BAOBABCOVE_ENTRY_EVACUATIONAPI_H

#include "entry/EntryContext.h"
#include "entry/EvacuationFollower.h"

namespace baobabcove {

/// HTTP handlers for operators that evacuate and restore data centres.
class EvacuationApi {
public:
  EvacuationApi(EntryContext &Context, const EvacuationFollower &Evacuations)
      : Context(Context), Evacuations(Evacuations) {}

  /// PUT /v1/data-centres/NAME/evacuation; succeeds if it is in force already
  HttpResponse evacuate(const HttpRequest &Request, const std::string &Name);
  /// DELETE /v1/data-centres/NAME/evacuation; succeeds if none is in force
  HttpResponse restore(const HttpRequest &Request, const std::string &Name);
  /// GET /v1/data-centres/NAME/evacuation
  HttpResponse show(const HttpRequest &Request, const std::string &Name);
  /// GET /v1/data-centres
  HttpResponse list(const HttpRequest &Request);

private:
  Expected<void> check(const HttpRequest &Request,
                       const std::string &Name) const;
  std::string keyOf(const std::string &Name) const;

  EntryContext &Context;
  const EvacuationFollower &Evacuations;
};

} // namespace baobabcove

#endif // BAOBABCOVE_ENTRY_EVACUATIONAPI_H
