#include "Callers.h"

#include <set>

namespace baobabcove::testing {

namespace {

constexpr int MaxTries = 8;
constexpr int TryPauseMs = 150;
constexpr int DeadlineMs = 4000;

/// Keys that ran, out of journal lines "time run workspace/key body".
std::set<std::string> keysRun(const std::vector<std::string> &Lines) {
  std::set<std::string> Keys;
  for (const std::string &Line : Lines) {
    const std::size_t Slash = Line.find('/');
    Keys.insert(Line.substr(Slash + 1, Line.find(' ', Slash) - Slash - 1));
  }
  return Keys;
}

CallResult sendUntilKnown(Deployment &Site, int First, int Entries,
                          const std::string &Body, const std::string &Key) {
  CallResult Result;
  for (int Try = 0; Try < MaxTries; ++Try) {
    Result =
        Site.request((First + Try) % Entries, Body, false, Key, DeadlineMs);
    const bool Final = Result.Outcome == "answered" ||
                       Result.Body.find("PinExpired") != std::string::npos;
    if (Final)
      break;
    sleepMs(TryPauseMs);
  }
  if (Result.Outcome.empty())
    Result.Outcome = "unknown";
  return Result;
}

void runCaller(Deployment &Site, Tally &Got, int Caller,
               const CallerPlan &Plan) {
  for (int N = 0; N < Plan.Count && !Got.Stop; ++N) {
    const std::string Key =
        "k" + std::to_string(Caller) + "-" + std::to_string(N);
    const std::string Body = Key + " " + Plan.Work;
    Got.note(Key, Body, sendUntilKnown(Site, Caller, Plan.Entries, Body, Key));
  }
}

} // namespace

void sleepMs(int Ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(Ms));
}

void Tally::note(const std::string &Key, const std::string &Body,
                 const CallResult &Result) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  Last[Key] = Result;
  if (Result.Status == 200 && Result.Body != "answer:" + Body)
    Wrong.push_back(Key + " got " + Result.Body);
}

std::string Tally::unanswered() const {
  std::string Text;
  for (const auto &[Key, Result] : Last)
    if (Result.Outcome != "answered")
      Text += Key + ": " + Result.Body + "\n";
  return Text;
}

std::size_t Tally::count(const std::string &Outcome) const {
  std::size_t Count = 0;
  for (const auto &[Key, Result] : Last)
    Count += Result.Outcome == Outcome ? 1 : 0;
  return Count;
}

std::string broken(const Tally &Got, const Deployment &Site) {
  if (!Got.Wrong.empty())
    return "wrong answer: " + Got.Wrong[0];
  const auto Lines = Site.minionRuns();
  const auto Twice = ranTwice(Lines);
  if (!Twice.empty())
    return "ran twice: " + Twice[0];
  const auto Ran = keysRun(Lines);
  for (const auto &[Key, Result] : Got.Last) {
    if (Result.Outcome == "not run" && Ran.count(Key) != 0)
      return "told not run, but ran: " + Key;
    if (Result.Outcome == "answered" && Ran.count(Key) == 0)
      return "answered, but did not run: " + Key;
  }
  return {};
}

Callers::Callers(Deployment &Site, Tally &Got, const CallerPlan &Plan)
    : Got(Got) {
  for (int I = 0; I < Plan.Threads; ++I)
    List.emplace_back(
        [&Site, &Got, I, Plan] { runCaller(Site, Got, I, Plan); });
}

Callers::~Callers() {
  Got.Stop = true;
  join();
}

void Callers::join() {
  for (std::thread &Each : List)
    if (Each.joinable())
      Each.join();
}

} // namespace baobabcove::testing
