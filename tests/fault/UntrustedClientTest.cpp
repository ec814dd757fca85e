#include "Attackers.h"
#include "Deployment.h"

#include "base/Text.h"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <filesystem>
#include <sstream>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace baobabcove;
using namespace baobabcove::testing;

namespace {

/// Memory of the smallest entry.
constexpr long MemoryLimitKb = 160L * 1024;
/// More than the threads of an entry (256).
constexpr std::size_t Attackers = 300;
/// The largest legal body of an entry.
constexpr std::size_t BodyBytes = 1 << 20;
constexpr std::size_t AttackBytesPerSecond = std::size_t(400) << 20;
constexpr double AttackSeconds = 0.8;
constexpr int CallerThreads = 4;

/// Returns the number after \p Name in /proc/PID/status.
long processStatus(const Process &Of, const std::string &Name) {
  std::string Text;
  (void)readFile("/proc/" + Of.id() + "/status", Text);
  const std::size_t At = Text.find(Name + ":");
  return At == std::string::npos
             ? 0
             : std::atol(Text.c_str() + At + Name.size() + 1);
}

std::size_t openDescriptors(const Process &Of) {
  std::error_code Ignored;
  const std::filesystem::directory_iterator Files("/proc/" + Of.id() + "/fd",
                                                  Ignored);
  return static_cast<std::size_t>(
      std::distance(begin(Files), std::filesystem::directory_iterator()));
}

/// Callers that send requests one after the other over connections that half
/// of them keep, and repeat each until it has run.
class OrdinaryCallers {
public:
  explicit OrdinaryCallers(const std::string &Address) {
    for (int I = 0; I < CallerThreads; ++I)
      Threads.emplace_back([this, Address, I] { call(Address, I); });
  }
  ~OrdinaryCallers() { stop(); }

  void stop() {
    Stopping = true;
    for (std::thread &Each : Threads)
      if (Each.joinable())
        Each.join();
  }

  /// Returns the 99th percentile since the last call, and starts anew.
  long takeP99Ms() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    std::vector<long> Sorted = std::move(LatenciesMs);
    LatenciesMs.clear();
    if (Sorted.empty())
      return -1;
    std::sort(Sorted.begin(), Sorted.end());
    return Sorted[(Sorted.size() - 1) * 99 / 100];
  }

  std::atomic<int> Ran{0};
  std::atomic<int> Lost{0};

private:
  void call(const std::string &Address, int Thread) {
    HttpClient Kept(Address);
    for (int I = 0; !Stopping; ++I) {
      HttpClient New(Address);
      HttpClient &Client = Thread % 2 == 0 ? Kept : New;
      const std::string Key =
          "c" + std::to_string(Thread) + "-" + std::to_string(I);
      const Instant Start = monotonicNow();
      CallResult Result;
      do
        Result = Deployment::request(Client, Key, false, Key, 5000);
      while (Result.Status != 200 &&
             monotonicNow() < Start + Milliseconds(20000));
      const std::lock_guard<std::mutex> Lock(Mutex);
      LatenciesMs.push_back((monotonicNow() - Start).count());
      ++(Result.Body == "answer:" + Key ? Ran : Lost);
    }
  }

  std::atomic<bool> Stopping{false};
  std::mutex Mutex;
  std::vector<long> LatenciesMs;
  std::vector<std::thread> Threads;
};

/// Runs every attack on \p Path of an entry while callers send requests.
/// Prints a row for each (path, attack, peak memory and its limit in MiB,
/// threads, descriptors, p99 of the callers in ms before and during the
/// attack), and checks the entry's memory and the callers.
void attackAll(const std::string &Path) {
  DeploymentOptions Options;
  Options.Entries = 1;
  Options.Minions = 2;
  Deployment Cluster(Options);
  CHECK_TRUE(Cluster.ready());
  const Process &Entry = Cluster.entry(0);
  const std::string Address = Cluster.entryHttpAddress(0);
  OrdinaryCallers Callers(Address);
  std::this_thread::sleep_for(Milliseconds(1000));
  const long Before = Callers.takeP99Ms();
  bool StaysBelow = true;
  for (const Attack &Each : attacksOn(Path, BodyBytes)) {
    std::thread Attacker([&] {
      runAttack(Each, Address, Attackers, AttackSeconds, AttackBytesPerSecond);
    });
    std::this_thread::sleep_for(Milliseconds(600));
    const std::size_t Descriptors = openDescriptors(Entry);
    const long ThreadCount = processStatus(Entry, "Threads");
    Attacker.join();
    const long PeakKb = processStatus(Entry, "VmHWM");
    std::printf("| %s | %s | %ld | %ld | %ld | %zu | %ld | %ld |\n",
                Path.c_str(), Each.Name.c_str(), PeakKb / 1024,
                MemoryLimitKb / 1024, ThreadCount, Descriptors, Before,
                Callers.takeP99Ms());
    StaysBelow = StaysBelow && PeakKb > 0 && PeakKb < MemoryLimitKb;
  }
  std::this_thread::sleep_for(Milliseconds(1000));
  std::printf("| %s | after | | | | | %ld | %ld |\n", Path.c_str(), Before,
              Callers.takeP99Ms());
  Callers.stop();
  CHECK_TRUE(StaysBelow);
  CHECK(Callers.Ran > 0);
  LONGS_EQUAL(0, Callers.Lost.load());
}

} // namespace

TEST_GROUP(UntrustedClient){};

// Guards against clients of a known path that exhaust the memory or threads of
// an entry, so that it is killed or requests do not run.
TEST(UntrustedClient, DoNotStopAnEntryOnAKnownPath) { attackAll("/v1/jobs"); }

// Guards against the same on a path without a route.
TEST(UntrustedClient, DoNotStopAnEntryOnAnUnknownPath) { attackAll("/none"); }

// Guards against the same on the path of the readiness probes.
TEST(UntrustedClient, DoNotStopAnEntryOnTheReadinessPath) {
  attackAll("/healthz");
}
