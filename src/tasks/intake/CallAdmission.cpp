#include "tasks/intake/CallAdmission.h"

namespace baobabcove {

namespace {

/// Returns the workspace of the key in \p Credentials.
Expected<WorkspaceId> workspaceOf(const BearerCredentials &Credentials,
                                  const QueueConfig &Config, Milliseconds Age,
                                  Milliseconds MaxAge) {
  // No configuration makes credentials valid that hold no key.
  const auto Token = Credentials.token();
  if (!Token && !Credentials.areAbsent())
    return tl::unexpected<Error>(Token.error());
  if (Age >= MaxAge)
    return failure(ResultCode::StoreUnavailable,
                   "API keys cannot be verified: the configuration was last "
                   "confirmed " +
                       std::to_string(Age.count()) + " ms ago.");
  if (!Token)
    return tl::unexpected<Error>(Token.error());
  const auto Key = Config.Keys.find(*Token);
  if (Key == Config.Keys.end())
    return failure(ResultCode::WrongToken,
                   "The API key is not assigned to a workspace; it may have "
                   "been withdrawn.");
  return Key->second;
}

} // namespace

Expected<AdmittedCall> admitCall(std::shared_ptr<const QueueConfig> Config,
                                 Milliseconds Age, Milliseconds MaxAge,
                                 const std::string &Host,
                                 const std::string &Path,
                                 const BearerCredentials &Credentials) {
  if (!Config)
    return failure(ResultCode::Starting,
                   "No configuration has been loaded yet.");
  AdmittedCall Call;
  Call.Queue = findQueue(*Config, Host.substr(0, Host.find(':')), Path);
  if (!Call.Queue)
    return failure(ResultCode::UnknownPath,
                   "No queue is configured for " + Host + Path + ".");
  Call.PathSuffix = Path.substr(Call.Queue->Prefix.size());
  if (!Call.Queue->Anonymous || !Credentials.areAbsent()) {
    auto Workspace = workspaceOf(Credentials, *Config, Age, MaxAge);
    if (!Workspace)
      return tl::unexpected<Error>(Workspace.error());
    Call.Workspace = *Workspace;
  }
  Call.Config = std::move(Config);
  return Call;
}

} // namespace baobabcove
