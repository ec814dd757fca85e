#include "http/Access.h"

#include "base/Text.h"

namespace baobabcove {

namespace {

constexpr std::size_t MaxTokenBytes = 256;

} // namespace

Expected<Identity> identify(const HttpRequest &Request,
                            const Configuration &Present) {
  static const std::string Scheme = "Bearer ";
  // Before a process has its first configuration it knows no token at all.
  if (Present.Operators.empty())
    return failure(ResultCode::Starting,
                   "This instance has no configuration yet.");
  const std::string Header = Request.header("authorization");
  if (Header.rfind(Scheme, 0) != 0 || Header.size() > MaxTokenBytes)
    return failure(ResultCode::MissingToken,
                   "The request carries no bearer token.");
  const std::string Digest = sha256Hex(Header.substr(Scheme.size()));
  Identity Found;
  // Every digest is compared, so that the time tells nothing of a match.
  for (const auto &[Name, Operator] : Present.Operators)
    if (equalInConstantTime(Digest, Operator.TokenDigest))
      Found.Operator = Name;
  for (const auto &[Name, Workspace] : Present.Workspaces)
    for (const std::string &Token : Workspace.TokenDigests)
      if (equalInConstantTime(Digest, Token))
        Found.Workspace = Name;
  if (Found.Operator.empty() && Found.Workspace.empty())
    return failure(ResultCode::WrongToken,
                   "No workspace or operator has this token.");
  return Found;
}

Expected<Identity> identifyOperator(const HttpRequest &Request,
                                    const Configuration &Present) {
  auto Found = identify(Request, Present);
  if (Found && !Found->isOperator())
    return failure(ResultCode::WrongWorkspace, "Only operators may do this.");
  return Found;
}

} // namespace baobabcove
