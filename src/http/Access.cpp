#include "http/Access.h"

#include "base/Text.h"
#include "http/BearerCredentials.h"

namespace baobabcove {

namespace {

constexpr std::size_t MaxTokenBytes = 256;

} // namespace

Expected<Identity> authenticate(const HttpRequest &Request,
                                const Configuration &CurrentConfig) {
  // No token is known before the first configuration has arrived.
  if (CurrentConfig.Operators.empty())
    return failure(ResultCode::Starting,
                   "This instance has no configuration yet.");
  const auto Token = BearerCredentials(Request.authorization()).token();
  if (!Token)
    return tl::unexpected<Error>(Token.error());
  if (Token->size() > MaxTokenBytes)
    return failure(ResultCode::WrongToken, "The token is longer than " +
                                               std::to_string(MaxTokenBytes) +
                                               " bytes.");
  const std::string Digest = sha256Hex(*Token);
  Identity Found;
  // Compare every digest, so that the duration does not reveal a match.
  for (const auto &[Name, Operator] : CurrentConfig.Operators)
    if (equalInConstantTime(Digest, Operator.TokenDigest))
      Found.Operator = Name;
  for (const auto &[Name, Workspace] : CurrentConfig.Workspaces)
    for (const std::string &Token : Workspace.TokenDigests)
      if (equalInConstantTime(Digest, Token))
        Found.Workspace = Name;
  if (Found.Operator.empty() && Found.Workspace.empty())
    return failure(ResultCode::WrongToken,
                   "No workspace or operator has this token.");
  return Found;
}

Expected<Identity> authenticateOperator(const HttpRequest &Request,
                                        const Configuration &CurrentConfig) {
  auto Found = authenticate(Request, CurrentConfig);
  if (Found && !Found->isOperator())
    return failure(ResultCode::WrongWorkspace,
                   "Only operators may send this request.");
  return Found;
}

} // namespace baobabcove
