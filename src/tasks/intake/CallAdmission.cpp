#include "tasks/intake/CallAdmission.h"

namespace baobabcove {

namespace {

const std::string Scheme = "Bearer ";

} // namespace

Expected<AdmittedCall> admitCall(std::shared_ptr<const QueueConfig> Config,
                                 Milliseconds Age, Milliseconds MaxAge,
                                 const std::string &Host,
                                 const std::string &Path,
                                 const std::string &Authorization) {
  if (!Config)
    return failure(ResultCode::Starting,
                   "No configuration has been loaded yet.");
  AdmittedCall Call;
  Call.Queue = findQueue(*Config, Host.substr(0, Host.find(':')), Path);
  if (!Call.Queue)
    return failure(ResultCode::UnknownPath,
                   "No queue is configured for " + Host + Path + ".");
  Call.PathSuffix = Path.substr(Call.Queue->Prefix.size());
  if (!Call.Queue->Anonymous || !Authorization.empty()) {
    if (Age >= MaxAge)
      return failure(ResultCode::StoreUnavailable,
                     "API keys cannot be verified: the configuration was last "
                     "confirmed " +
                         std::to_string(Age.count()) + " ms ago.");
    const bool HasKey = Authorization.rfind(Scheme, 0) == 0;
    const auto Key =
        Config->Keys.find(HasKey ? Authorization.substr(Scheme.size()) : "");
    if (Key != Config->Keys.end())
      Call.Workspace = Key->second;
    else if (!Call.Queue->Anonymous)
      return failure(HasKey ? ResultCode::WrongToken : ResultCode::MissingToken,
                     "The API key is not assigned to a workspace.");
  }
  Call.Config = std::move(Config);
  return Call;
}

} // namespace baobabcove
