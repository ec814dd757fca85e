#include "base/HttpClient.h"

#include <algorithm>
#include <atomic>
#include <iostream>
#include <mutex>
#include <thread>

#include <Poco/JSON/Object.h>
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

ABSL_FLAG(std::string, address, "", "ip:port to send to");
ABSL_FLAG(std::string, path, "/run", "path of the requests");
ABSL_FLAG(std::string, token, "", "bearer token");
ABSL_FLAG(int, threads, 4, "number of concurrent requests");
ABSL_FLAG(double, rate, 0, "total requests per second; zero for no limit");
ABSL_FLAG(int, seconds, 5, "duration of the load, s");
ABSL_FLAG(std::string, body, "hello", "body of the requests");

namespace {

using namespace baobabcove;
using Clock = std::chrono::steady_clock;

constexpr int HttpOk = 200;

/// Results of all sending threads.
struct LoadResults {
  std::mutex Mutex;
  std::vector<double> LatenciesMs;
  /// Responses with a status other than 200.
  std::uint64_t Refused = 0;
  /// Requests without a response.
  std::uint64_t Failed = 0;
};

/// Sends requests one after another until \p EndTime, at most \p ThreadRate a
/// second when that is positive.
void sendRequests(LoadResults &Results, Clock::time_point EndTime,
                  double ThreadRate) {
  HttpClient Client(absl::GetFlag(FLAGS_address));
  HttpCall Call;
  Call.Path = absl::GetFlag(FLAGS_path);
  Call.Body = absl::GetFlag(FLAGS_body);
  Call.ContentType = "text/plain";
  Call.Headers["Authorization"] = "Bearer " + absl::GetFlag(FLAGS_token);
  Call.Headers["X-Idempotent"] = "true";
  Clock::time_point NextSend = Clock::now();
  while (NextSend < EndTime && Clock::now() < EndTime) {
    std::this_thread::sleep_until(NextSend);
    const Clock::time_point Start = Clock::now();
    const auto Response = Client.call(Call);
    const std::chrono::duration<double, std::milli> Latency =
        Clock::now() - Start;
    const std::lock_guard<std::mutex> Lock(Results.Mutex);
    if (!Response)
      ++Results.Failed;
    else if (Response->Status != HttpOk)
      ++Results.Refused;
    else
      Results.LatenciesMs.push_back(Latency.count());
    NextSend =
        ThreadRate > 0
            ? NextSend + std::chrono::duration_cast<Clock::duration>(
                             std::chrono::duration<double>(1 / ThreadRate))
            : Clock::now();
  }
}

double quantile(const std::vector<double> &Sorted, double Fraction) {
  if (Sorted.empty())
    return 0;
  return Sorted[static_cast<std::size_t>(
      Fraction * static_cast<double>(Sorted.size() - 1))];
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  absl::SetProgramUsageMessage("Sends requests at a given rate and prints "
                               "their outcomes and latencies.");
  absl::ParseCommandLine(ArgumentCount, Arguments);
  LoadResults Results;
  const int Threads = absl::GetFlag(FLAGS_threads);
  const int Seconds = absl::GetFlag(FLAGS_seconds);
  const auto EndTime = Clock::now() + std::chrono::seconds(Seconds);
  std::vector<std::thread> Senders;
  Senders.reserve(static_cast<std::size_t>(Threads));
  for (int I = 0; I < Threads; ++I)
    Senders.emplace_back([&] {
      sendRequests(Results, EndTime, absl::GetFlag(FLAGS_rate) / Threads);
    });
  for (std::thread &Sender : Senders)
    Sender.join();
  std::sort(Results.LatenciesMs.begin(), Results.LatenciesMs.end());
  Poco::JSON::Object Summary(Poco::JSON_PRESERVE_KEY_ORDER);
  Summary.set("answered", Results.LatenciesMs.size());
  Summary.set("refused", Results.Refused);
  Summary.set("broken", Results.Failed);
  Summary.set("per_second",
              static_cast<double>(Results.LatenciesMs.size()) / Seconds);
  Summary.set("p50_ms", quantile(Results.LatenciesMs, 0.5));
  Summary.set("p99_ms", quantile(Results.LatenciesMs, 0.99));
  Summary.stringify(std::cout);
  std::cout << std::endl;
  return 0;
}
