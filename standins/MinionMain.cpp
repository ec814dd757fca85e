/// \file
/// Stand-in of a minion: an HTTP back end that echoes each request after a
/// simulated work time. Control requests make it slow, make it refuse requests,
/// return malformed responses, or drain.

#include "EventJournal.h"
#include "base/Signals.h"
#include "http/HttpServer.h"

#include <atomic>
#include <iostream>
#include <thread>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

ABSL_FLAG(std::string, address, "127.0.0.1:0", "ip:port to serve on");
ABSL_FLAG(std::string, journal, "",
          "file to which the requests that ran are appended");
ABSL_FLAG(int, work_ms, 5, "work time of a request, ms");
ABSL_FLAG(int, slots, 8, "maximum number of concurrent requests");

namespace baobabcove::standins {
namespace {

constexpr int HttpUnavailable = 503;

class SimulatedMinion {
public:
  SimulatedMinion()
      : Events(absl::GetFlag(FLAGS_journal)),
        WorkMs(absl::GetFlag(FLAGS_work_ms)) {}

  /// Serves health checks, requests to run, and control requests.
  HttpResponse handle(const HttpRequest &Request) {
    if (Request.Path == "/health")
      return emptyResponse(Draining ? HttpUnavailable : 200);
    if (Request.Path == "/run")
      return runRequest(Request);
    return applyControl(Request);
  }

private:
  static HttpResponse emptyResponse(int Status) {
    HttpResponse Response;
    Response.Status = Status;
    Response.Body = "{}";
    return Response;
  }

  HttpResponse runRequest(const HttpRequest &Request) {
    if (Refuse || InFlight >= absl::GetFlag(FLAGS_slots))
      return emptyResponse(HttpUnavailable);
    ++InFlight;
    const std::string Name =
        Request.header("x-workspace") + "/" + Request.header("x-request-id");
    Events.write("run", Name, Request.Body.substr(0, 64));
    std::this_thread::sleep_for(Milliseconds(workMsOf(Request.Body)));
    Events.write("done", Name, "-");
    --InFlight;
    HttpResponse Response;
    Response.Body = "answer:" + Request.Body;
    Response.ContentType = "text/plain";
    // Announces more bytes than are sent.
    if (InvalidLength)
      Response.Headers["Content-Length"] = "999999";
    return Response;
  }

  /// Returns the work time of a request in ms: the number after "work=" in its
  /// body, or else the configured time.
  int workMsOf(const std::string &Body) const {
    const std::size_t Found = Body.find("work=");
    return Found == std::string::npos ? WorkMs.load()
                                      : std::atoi(Body.c_str() + Found + 5);
  }

  /// Switches a fault on or off; returns 404 for an unknown path.
  HttpResponse applyControl(const HttpRequest &Request) {
    const bool Enabled = Request.query("on") != "false";
    if (Request.Path == "/order/slow")
      WorkMs = std::stoi(Request.query("ms"));
    else if (Request.Path == "/order/refuse")
      Refuse = Enabled;
    else if (Request.Path == "/order/garbage")
      InvalidLength = Enabled;
    else if (Request.Path == "/order/drain")
      Draining = Enabled;
    else
      return emptyResponse(404);
    return emptyResponse(200);
  }

  EventJournal Events;
  std::atomic<int> WorkMs;
  std::atomic<int> InFlight{0};
  std::atomic<bool> Refuse{false};
  std::atomic<bool> InvalidLength{false};
  std::atomic<bool> Draining{false};
};

int serve() {
  blockSignals();
  SimulatedMinion Minion;
  auto Server = serveHttp(
      absl::GetFlag(FLAGS_address), HttpLimits(),
      [&](const HttpRequest &Request) { return Minion.handle(Request); });
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
