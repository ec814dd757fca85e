#include "Callers.h"

#include <set>

namespace baobabcove::testing {

namespace {

constexpr int MaxAttempts = 8;
constexpr int RetryDelayMs = 150;
constexpr int DeadlineMs = 4000;

/// Returns the keys of the requests that ran, given journal lines "time run
/// workspace/key body".
std::set<std::string> keysOfRuns(const std::vector<std::string> &RunLines) {
  std::set<std::string> Keys;
  for (const std::string &Line : RunLines) {
    const std::size_t Slash = Line.find('/');
    Keys.insert(Line.substr(Slash + 1, Line.find(' ', Slash) - Slash - 1));
  }
  return Keys;
}

/// The connections of one caller, to each entry.
class CallerConnections {
public:
  CallerConnections(Deployment &Cluster, const CallerOptions &Options)
      : Cluster(Cluster), Keep(Options.KeepConnections),
        Clients(Options.Entries) {}

  std::size_t entries() const { return Clients.size(); }

  CallResult send(std::size_t Entry, const std::string &Body,
                  const std::string &Key) {
    auto &Client = Clients[Entry];
    if (!Client || !Keep)
      Client = std::make_unique<HttpClient>(
          Cluster.entryHttpAddress(static_cast<int>(Entry)));
    CallResult Result =
        Deployment::request(*Client, Body, false, Key, DeadlineMs);
    // Without a response the process may be gone, and its replacement has
    // another address.
    if (Result.Status == 0)
      Client.reset();
    return Result;
  }

private:
  Deployment &Cluster;
  const bool Keep;
  std::vector<std::unique_ptr<HttpClient>> Clients;
};

/// Sends a request to one entry after another until it is answered or its
/// outcome can no longer be found out (PinExpired), at most MaxAttempts times.
CallResult sendUntilKnown(CallerConnections &Connections,
                          std::size_t FirstEntry, const std::string &Body,
                          const std::string &Key) {
  CallResult Result;
  std::string Attempts;
  for (int Attempt = 0; Attempt < MaxAttempts; ++Attempt) {
    Result = Connections.send((FirstEntry + Attempt) % Connections.entries(),
                              Body, Key);
    Attempts += "\n  " + std::to_string(Result.Status) + " " + Result.Body;
    const bool Finished = Result.Outcome == "answered" ||
                          Result.Body.find("PinExpired") != std::string::npos;
    if (Finished)
      break;
    sleepMs(RetryDelayMs);
  }
  if (Result.Outcome.empty())
    Result.Outcome = "unknown";
  Result.Attempts = Attempts;
  return Result;
}

void runCaller(Deployment &Cluster, CallerResults &Results, int Caller,
               const CallerOptions &Options) {
  CallerConnections Connections(Cluster, Options);
  for (int N = 0; N < Options.RequestsPerThread && !Results.Stop; ++N) {
    const std::string Key =
        "k" + std::to_string(Caller) + "-" + std::to_string(N);
    const std::string Body = Key + " " + Options.Work;
    Results.record(Key, Body, sendUntilKnown(Connections, Caller, Body, Key));
  }
}

} // namespace

void sleepMs(int Ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(Ms));
}

void CallerResults::record(const std::string &Key, const std::string &Body,
                           const CallResult &Result) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  LastResults[Key] = Result;
  if (Result.Status == 200 && Result.Body != "answer:" + Body)
    WrongResponses.push_back(Key + " received " + Result.Body);
}

std::string CallerResults::describeUnanswered() const {
  std::string Description;
  for (const auto &[Key, Result] : LastResults)
    if (Result.Outcome != "answered")
      Description += Key + ": " + Result.Body + "\n";
  return Description;
}

std::size_t CallerResults::count(const std::string &Outcome) const {
  std::size_t Count = 0;
  for (const auto &[Key, Result] : LastResults)
    Count += Result.Outcome == Outcome ? 1 : 0;
  return Count;
}

std::string firstViolation(const CallerResults &Results,
                           const Deployment &Cluster) {
  if (!Results.WrongResponses.empty())
    return "wrong response: " + Results.WrongResponses[0];
  const auto RunLines = Cluster.minionRuns();
  const auto Duplicates = findDuplicateRuns(RunLines);
  if (!Duplicates.empty())
    return "ran twice: " + Duplicates[0];
  const auto KeysRun = keysOfRuns(RunLines);
  for (const auto &[Key, Result] : Results.LastResults) {
    if (Result.Outcome == "not run" && KeysRun.count(Key) != 0)
      return "reported as not run, but ran: " + Key + Result.Attempts;
    if (Result.Outcome == "answered" && KeysRun.count(Key) == 0)
      return "answered, but did not run: " + Key + Result.Attempts;
  }
  return {};
}

Callers::Callers(Deployment &Cluster, CallerResults &Results,
                 const CallerOptions &Options)
    : Results(Results) {
  for (int I = 0; I < Options.ThreadCount; ++I)
    Threads.emplace_back([&Cluster, &Results, I, Options] {
      runCaller(Cluster, Results, I, Options);
    });
}

Callers::~Callers() {
  Results.Stop = true;
  join();
}

void Callers::join() {
  for (std::thread &Thread : Threads)
    if (Thread.joinable())
      Thread.join();
}

} // namespace baobabcove::testing
