/// \file
/// Who may call: tokens of callers and operators.

#ifndef BAOBABCOVE_HTTP_ACCESS_H
#define BAOBABCOVE_HTTP_ACCESS_H

#include "config/Configuration.h"
#include "http/HttpServer.h"

namespace baobabcove {

/// Who sent a request.
struct Identity {
  /// Name of the operator; empty for a caller.
  std::string Operator;
  /// The caller's workspace; empty for an operator.
  std::string Workspace;

  bool isOperator() const { return !Operator.empty(); }
  /// Whether work of \p Owner may be seen and changed.
  bool maySee(const std::string &Owner) const {
    return isOperator() || Owner == Workspace;
  }
};

/// Finds the sender by its bearer token. Fails with MissingToken or
/// WrongToken. All digests are compared in constant time.
Expected<Identity> identify(const HttpRequest &Request,
                            const Configuration &Present);

/// The same for a request that only operators may send; fails with
/// WrongWorkspace for a caller's token.
Expected<Identity> identifyOperator(const HttpRequest &Request,
                                    const Configuration &Present);

} // namespace baobabcove

#endif // BAOBABCOVE_HTTP_ACCESS_H
