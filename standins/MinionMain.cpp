/// \file
/// Stand-in of a minion: an HTTP back end that answers each request with its
/// own text after a while, and can be told to turn slow, refuse, answer
/// garbage or drain.

#include "Journal.h"
#include "base/Signals.h"
#include "http/HttpServer.h"

#include <atomic>
#include <iostream>
#include <thread>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

ABSL_FLAG(std::string, address, "127.0.0.1:0", "ip:port to serve on");
ABSL_FLAG(std::string, journal, "", "file that lists what was run");
ABSL_FLAG(int, work_ms, 5, "time that a request takes");
ABSL_FLAG(int, slots, 8, "requests that may run at once");

namespace baobabcove::standins {
namespace {

constexpr int Unavailable = 503;

class Minion {
public:
  Minion()
      : Ran(absl::GetFlag(FLAGS_journal)),
        WorkMs(absl::GetFlag(FLAGS_work_ms)) {}

  HttpResponse answer(const HttpRequest &Request) {
    if (Request.Path == "/health")
      return status(Draining ? Unavailable : 200);
    if (Request.Path == "/run")
      return run(Request);
    return order(Request);
  }

private:
  static HttpResponse status(int Code) {
    HttpResponse Response;
    Response.Status = Code;
    Response.Body = "{}";
    return Response;
  }

  HttpResponse run(const HttpRequest &Request) {
    if (Refusing || InFlight >= absl::GetFlag(FLAGS_slots))
      return status(Unavailable);
    ++InFlight;
    const std::string Name =
        Request.header("x-workspace") + "/" + Request.header("x-request-id");
    Ran.write("run", Name, Request.Body.substr(0, 64));
    std::this_thread::sleep_for(Milliseconds(workOf(Request.Body)));
    Ran.write("done", Name, "-");
    --InFlight;
    HttpResponse Response;
    Response.Body = "answer:" + Request.Body;
    Response.ContentType = "text/plain";
    if (Garbage)
      Response.Headers["Content-Length"] = "999999";
    return Response;
  }

  /// A request may say itself how long it takes: "... work=250".
  int workOf(const std::string &Body) const {
    const std::size_t At = Body.find("work=");
    return At == std::string::npos ? WorkMs.load()
                                   : std::atoi(Body.c_str() + At + 5);
  }

  HttpResponse order(const HttpRequest &Request) {
    const bool On = Request.query("on") != "false";
    if (Request.Path == "/order/slow")
      WorkMs = std::stoi(Request.query("ms"));
    else if (Request.Path == "/order/refuse")
      Refusing = On;
    else if (Request.Path == "/order/garbage")
      Garbage = On;
    else if (Request.Path == "/order/drain")
      Draining = On;
    else
      return status(404);
    return status(200);
  }

  Journal Ran;
  std::atomic<int> WorkMs;
  std::atomic<int> InFlight{0};
  std::atomic<bool> Refusing{false};
  std::atomic<bool> Garbage{false};
  std::atomic<bool> Draining{false};
};

int serve() {
  blockSignals();
  Minion Mine;
  auto Server = serveHttp(
      absl::GetFlag(FLAGS_address), HttpLimits(),
      [&](const HttpRequest &Request) { return Mine.answer(Request); });
  if (!Server)
    return 1;
  std::cout << "ready http=" << (*Server)->address() << std::endl;
  waitForStop([] {});
  std::_Exit(0);
}

} // namespace
} // namespace baobabcove::standins

int main(int ArgumentCount, char **Arguments) {
  absl::ParseCommandLine(ArgumentCount, Arguments);
  return baobabcove::standins::serve();
}
