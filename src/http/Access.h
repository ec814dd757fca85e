#ifndef BAOBABCOVE_HTTP_ACCESS_H
#define BAOBABCOVE_HTTP_ACCESS_H

#include "config/Configuration.h"
#include "http/HttpServer.h"

namespace baobabcove {

/// The authenticated sender of a request.
struct Identity {
  /// Name of the operator; empty for a caller.
  std::string Operator;
  /// The caller's workspace; empty for an operator.
  std::string Workspace;

  bool isOperator() const { return !Operator.empty(); }
  /// Returns whether the sender may see and change the work of workspace
  /// \p Owner.
  bool mayAccess(const std::string &Owner) const {
    return isOperator() || Owner == Workspace;
  }
};

/// Authenticates the sender by its bearer token. Fails with Starting before the
/// first configuration, with MissingToken or with WrongToken. Token digests are
/// compared in constant time.
Expected<Identity> authenticate(const HttpRequest &Request,
                                const Configuration &CurrentConfig);

/// Authenticates the sender of a request that only operators may send. Also
/// fails with WrongWorkspace for a caller's token.
Expected<Identity> authenticateOperator(const HttpRequest &Request,
                                        const Configuration &CurrentConfig);

} // namespace baobabcove

#endif // BAOBABCOVE_HTTP_ACCESS_H
