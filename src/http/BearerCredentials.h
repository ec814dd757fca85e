/// \file
/// The credentials of a request, for every address that asks for a token.

#ifndef BAOBABCOVE_HTTP_BEARERCREDENTIALS_H
#define BAOBABCOVE_HTTP_BEARERCREDENTIALS_H

#include "baobabcove/ResultCode.h"

#include <optional>
#include <string>

namespace baobabcove {

/// What the Authorization header of a request holds. Only a request without
/// that header has no credentials; any other is refused if its credentials are
/// of no use, wherever calls without them are accepted.
class BearerCredentials {
public:
  /// \p Authorization is the value of the header; nothing without a header. The
  /// scheme is read in any case, and blanks around the token are ignored.
  explicit BearerCredentials(const std::optional<std::string> &Authorization);

  /// Whether the request has no Authorization header.
  bool areAbsent() const { return Form == Kind::Absent; }
  /// Returns the token. Fails with MissingToken if the header is absent, empty
  /// or of another scheme, and with WrongToken if the token is empty. Errors
  /// contain nothing of the header.
  Expected<std::string> token() const;

private:
  enum class Kind { Absent, Empty, OtherScheme, NoToken, Token };

  Kind Form = Kind::Absent;
  std::string Token;
};

} // namespace baobabcove

#endif // BAOBABCOVE_HTTP_BEARERCREDENTIALS_H
