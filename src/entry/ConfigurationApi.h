#ifndef BAOBABCOVE_ENTRY_CONFIGURATIONAPI_H
#define BAOBABCOVE_ENTRY_CONFIGURATIONAPI_H

#include "entry/EntryContext.h"

namespace baobabcove {

/// Returns the store key of the active configuration.
std::string configurationKey();

/// HTTP handlers for operators that show, check and apply configurations.
class ConfigurationApi {
public:
  explicit ConfigurationApi(EntryContext &Context) : Context(Context) {}

  /// GET /v1/configuration
  HttpResponse show(const HttpRequest &Request);
  /// POST /v1/configuration; ?check_only=true only validates
  HttpResponse apply(const HttpRequest &Request);
  /// GET /v1/workspaces
  HttpResponse workspaces(const HttpRequest &Request);

private:
  Expected<Identity> authenticateApplier(const HttpRequest &Request) const;
  Expected<void> checkGuarantees(const ConfigurationReport &Report) const;
  Expected<wire::ConfigurationBundle>
  commitChange(const wire::ApplyRequest &Change, const std::string &Operator);
  Expected<wire::ConfigurationBundle>
  readBack(const wire::ApplyRequest &Change);
  static wire::ConfigurationBundle
  nextBundle(const wire::ConfigurationBundle &Current,
             const wire::ApplyRequest &Change, const std::string &Operator);

  EntryContext &Context;
};

} // namespace baobabcove

#endif // BAOBABCOVE_ENTRY_CONFIGURATIONAPI_H
