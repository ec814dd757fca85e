#ifndef BAOBABCOVE_REVIEW_STANDINS_HTTP_H
#define BAOBABCOVE_REVIEW_STANDINS_HTTP_H

#include <functional>
#include <map>
#include <memory>
#include <string>

#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPServer.h>

namespace baobabcove::review {

using JsonObject = Poco::JSON::Object::Ptr;

struct Request {
  std::string Method;
  std::string Path;
  std::map<std::string, std::string> Query;
  std::map<std::string, std::string> Headers;
  std::string Body;
};

struct Response {
  int Status = 200;
  std::string Body = "{}";
  /// Closes the connection without an answer.
  bool IsLost = false;
};

using Handler = std::function<Response(const Request &)>;

/// Serves HTTP on "ip:port" until the returned object is destroyed.
std::unique_ptr<Poco::Net::HTTPServer> serve(const std::string &Address,
                                             Handler Answer);

/// Makes one call on a new connection. The status is zero without an answer.
Response call(const std::string &Address, const Request &Message,
              int TimeoutMs);

/// Returns null if \p Text is not a JSON object.
JsonObject parse(const std::string &Text);
std::string toText(const JsonObject &Object);
Response answer(int Status, const JsonObject &Body);

} // namespace baobabcove::review

#endif // BAOBABCOVE_REVIEW_STANDINS_HTTP_H
