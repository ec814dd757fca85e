#include "http/BearerCredentials.h"

#include <Poco/String.h>

namespace baobabcove {

namespace {

const std::string Scheme = "bearer";
const char *const Blanks = " \t";

} // namespace

BearerCredentials::BearerCredentials(
    const std::optional<std::string> &Authorization) {
  if (!Authorization)
    return;
  const std::string Value = Poco::trim(*Authorization);
  const std::size_t SchemeEnd = Value.find_first_of(Blanks);
  if (Value.empty())
    Form = Kind::Empty;
  else if (Poco::icompare(Value.substr(0, SchemeEnd), Scheme) != 0)
    Form = Kind::OtherScheme;
  else if (SchemeEnd == std::string::npos)
    Form = Kind::NoToken;
  else {
    Form = Kind::Token;
    Token = Poco::trimLeft(Value.substr(SchemeEnd));
  }
}

Expected<std::string> BearerCredentials::token() const {
  switch (Form) {
  case Kind::Absent:
    return failure(ResultCode::MissingToken,
                   "The request carries no Authorization header.");
  case Kind::Empty:
    return failure(ResultCode::MissingToken,
                   "The Authorization header is empty.");
  case Kind::OtherScheme:
    return failure(ResultCode::MissingToken,
                   "The scheme of the Authorization header is not Bearer.");
  case Kind::NoToken:
    return failure(ResultCode::WrongToken,
                   "The Authorization header names no token after Bearer.");
  case Kind::Token:
    break;
  }
  return Token;
}

} // namespace baobabcove
