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
ABSL_FLAG(std::string, path, "/run", "path of the request");
ABSL_FLAG(std::string, token, "", "bearer token");
ABSL_FLAG(int, threads, 4, "requests under way at once");
ABSL_FLAG(double, rate, 0, "requests a second in all; zero for no limit");
ABSL_FLAG(int, seconds, 5, "how long to send");
ABSL_FLAG(std::string, body, "hello", "body of the request");

namespace {

using namespace baobabcove;
using Clock = std::chrono::steady_clock;

constexpr int HttpOk = 200;

/// What all sending threads add up.
struct Sums {
  std::mutex Mutex;
  std::vector<double> LatenciesMs;
  std::uint64_t Refused = 0;
  std::uint64_t Broken = 0;
};

void send(Sums &Total, Clock::time_point Until, double ThreadRate) {
  HttpClient Client(absl::GetFlag(FLAGS_address));
  HttpCall Call;
  Call.Path = absl::GetFlag(FLAGS_path);
  Call.Body = absl::GetFlag(FLAGS_body);
  Call.ContentType = "text/plain";
  Call.Headers["Authorization"] = "Bearer " + absl::GetFlag(FLAGS_token);
  Call.Headers["X-Idempotent"] = "true";
  Clock::time_point Next = Clock::now();
  while (Next < Until && Clock::now() < Until) {
    std::this_thread::sleep_until(Next);
    const Clock::time_point Began = Clock::now();
    const auto Answer = Client.call(Call);
    const std::chrono::duration<double, std::milli> Took = Clock::now() - Began;
    const std::lock_guard<std::mutex> Lock(Total.Mutex);
    if (!Answer)
      ++Total.Broken;
    else if (Answer->Status != HttpOk)
      ++Total.Refused;
    else
      Total.LatenciesMs.push_back(Took.count());
    Next = ThreadRate > 0
               ? Next + std::chrono::duration_cast<Clock::duration>(
                            std::chrono::duration<double>(1 / ThreadRate))
               : Clock::now();
  }
}

double quantile(const std::vector<double> &Sorted, double Share) {
  if (Sorted.empty())
    return 0;
  return Sorted[static_cast<std::size_t>(
      Share * static_cast<double>(Sorted.size() - 1))];
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  absl::SetProgramUsageMessage("Sends requests and prints how they fared.");
  absl::ParseCommandLine(ArgumentCount, Arguments);
  Sums Total;
  const int Threads = absl::GetFlag(FLAGS_threads);
  const int Seconds = absl::GetFlag(FLAGS_seconds);
  const auto Until = Clock::now() + std::chrono::seconds(Seconds);
  std::vector<std::thread> List;
  List.reserve(static_cast<std::size_t>(Threads));
  for (int I = 0; I < Threads; ++I)
    List.emplace_back(
        [&] { send(Total, Until, absl::GetFlag(FLAGS_rate) / Threads); });
  for (std::thread &Each : List)
    Each.join();
  std::sort(Total.LatenciesMs.begin(), Total.LatenciesMs.end());
  Poco::JSON::Object Line(Poco::JSON_PRESERVE_KEY_ORDER);
  Line.set("answered", Total.LatenciesMs.size());
  Line.set("refused", Total.Refused);
  Line.set("broken", Total.Broken);
  Line.set("per_second",
           static_cast<double>(Total.LatenciesMs.size()) / Seconds);
  Line.set("p50_ms", quantile(Total.LatenciesMs, 0.5));
  Line.set("p99_ms", quantile(Total.LatenciesMs, 0.99));
  Line.stringify(std::cout);
  std::cout << std::endl;
  return 0;
}
