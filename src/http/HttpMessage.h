#ifndef BAOBABCOVE_HTTP_HTTPMESSAGE_H
#define BAOBABCOVE_HTTP_HTTPMESSAGE_H

#include "baobabcove/ResultCode.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace baobabcove {

/// A completely received request.
struct HttpRequest {
  std::string Method;
  std::string Path;
  std::map<std::string, std::string> Query;
  /// Header names in lower case. The values of a repeated header are joined by
  /// commas.
  std::map<std::string, std::string> Headers;
  std::string Body;
  /// Identifies the connection at its server; later ones have higher numbers.
  std::uint64_t Connection = 0;

  /// Returns the value of the header \p Name (in lower case), or an empty
  /// string.
  std::string header(const std::string &Name) const;
  /// Returns the value of the Authorization header; nothing without one.
  std::optional<std::string> authorization() const;
  /// Returns the value of a query parameter, or an empty string.
  std::string query(const std::string &Name) const;
};

struct HttpResponse {
  int Status = 200;
  std::string Body;
  std::string ContentType = "application/json";
  std::map<std::string, std::string> Headers;
};

/// Returns the JSON error response for \p Code, with its name, outcome and next
/// step.
HttpResponse errorResponse(ResultCode Code, const std::string &Detail);

/// Returns the JSON error response for \p Err.
HttpResponse errorResponse(const Error &Err);

/// Returns the status line and the header of \p Response, up to and including
/// the empty line. \p Version is that of the request.
std::string formatHeader(const HttpResponse &Response,
                         const std::string &Version, bool KeepAlive);

} // namespace baobabcove

#endif // BAOBABCOVE_HTTP_HTTPMESSAGE_H
