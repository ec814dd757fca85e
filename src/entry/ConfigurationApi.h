/// \file
/// Operators' changes of the configuration over HTTP.

#ifndef BAOBABCOVE_ENTRY_CONFIGURATIONAPI_H
#define BAOBABCOVE_ENTRY_CONFIGURATIONAPI_H

#include "entry/EntryContext.h"

namespace baobabcove {

/// The store's key of the configuration in force.
std::string configurationKey();

/// Shows, checks and applies configurations.
class ConfigurationApi {
public:
  explicit ConfigurationApi(EntryContext &Context) : Context(Context) {}

  /// GET /v1/configuration
  HttpResponse show(const HttpRequest &Request);
  /// POST /v1/configuration, with ?check_only=true without effect
  HttpResponse apply(const HttpRequest &Request);
  /// GET /v1/workspaces
  HttpResponse workspaces(const HttpRequest &Request);

private:
  Expected<Identity> identifyApplier(const HttpRequest &Request) const;
  Expected<void> checkWhole(const ConfigurationReport &Report) const;
  Expected<wire::ConfigurationBundle> accept(const wire::ApplyRequest &Change,
                                             const std::string &Operator);
  Expected<wire::ConfigurationBundle>
  readBack(const wire::ApplyRequest &Change);
  static wire::ConfigurationBundle
  nextBundle(const wire::ConfigurationBundle &Present,
             const wire::ApplyRequest &Change, const std::string &Operator);

  EntryContext &Context;
};

} // namespace baobabcove

#endif // BAOBABCOVE_ENTRY_CONFIGURATIONAPI_H
