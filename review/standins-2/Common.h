/// \file
/// What the stand-ins of this review share: an HTTP server, an HTTP call, and a
/// record of events. They use no code of the project.

#ifndef REVIEW_STANDINS_2_COMMON_H
#define REVIEW_STANDINS_2_COMMON_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPServer.h>

namespace review {

using Object = Poco::JSON::Object::Ptr;
using Array = Poco::JSON::Array::Ptr;

/// Milliseconds of a clock that all processes of a case share.
std::int64_t nowMs();
std::int64_t unixMs();
void sleepMs(std::int64_t Duration);

Object parse(const std::string &Text);
std::string textOf(const Object &Body);

/// Options of the form --name=value.
class Options {
public:
  Options(int Count, char **Arguments);
  std::string text(const std::string &Name, const std::string &Default) const;
  std::int64_t number(const std::string &Name, std::int64_t Default) const;

private:
  std::map<std::string, std::string> Values;
};

/// Appends lines "MS TEXT" to a file that several processes share.
class Record {
public:
  explicit Record(const std::string &Path);
  void note(const std::string &Event) const;

private:
  int File;
};

struct Request {
  std::string Method;
  std::string Path;
  std::map<std::string, std::string> Query;
  std::string ExpectedInstance;
  std::string Body;
};

struct Response {
  int Status = 200;
  std::string Body = "{}";
};

/// Returns nothing to end the connection without a response.
using Handler = std::function<std::optional<Response>(const Request &)>;

/// Serves HTTP on "ip:port" until the process ends.
std::unique_ptr<Poco::Net::HTTPServer> serve(const std::string &Address,
                                             const Handler &Handle);

/// Makes one call on a connection of its own. Returns status 0 without an
/// answer.
Response call(const std::string &Address, const std::string &Method,
              const std::string &Path, const std::string &Body,
              std::int64_t TimeoutMs,
              const std::map<std::string, std::string> &Headers = {});

int runStore(const Options &Given);
int runWorker(const Options &Given);
int runCall(const Options &Given);
int runFlood(const Options &Given);
int runProxy(const Options &Given);

} // namespace review

#endif // REVIEW_STANDINS_2_COMMON_H
