#include "Attackers.h"
#include "KvServer.h"
#include "TaskDaemon.h"
#include "WaitUntil.h"

#include "base/HttpClient.h"

#include <algorithm>
#include <cstdio>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace baobabcove;
using namespace baobabcove::testing;

namespace {

constexpr std::size_t Attackers = 300;
constexpr std::size_t AttackBytesPerSecond = std::size_t(100) << 20;
constexpr double AttackSeconds = 0.5;
const std::string EntryIp = ownAddress(64);
const std::string AgentIp = ownAddress(96);
constexpr long EntryMemoryMb = 160;
constexpr long AgentMemoryMb = 128;

int statusOf(HttpClient &Client, const HttpCall &Call) {
  const auto Response = Client.call(Call);
  return Response ? Response->Status : 0;
}

HttpCall callOf(const std::string &Method, const std::string &Path,
                const std::string &Body = "") {
  HttpCall Call;
  Call.Method = Method;
  Call.Path = Path;
  Call.Body = Body;
  Call.Headers["Host"] = "jobs.example";
  Call.NewConnection = true;
  return Call;
}

std::string configText(int Version, const std::string &Limits) {
  return R"({"version":)" + std::to_string(Version) +
         R"(,"routes":[{"host":"jobs.example","prefix":"/queue/",
            "service":"planner","allow_anonymous":true}],"limits":{)" +
         Limits + "}}";
}

HttpCall jobCall(int Number) {
  char Id[17];
  std::snprintf(Id, sizeof(Id), "%016x", Number);
  return callOf("POST", std::string("/queue/") + Id,
                R"({"spec":"p","steps":[{"count":1,"cpu":100}]})");
}

/// Runs every attack on an address while \p Probe is called, which returns
/// whether an ordinary call was served. Prints a row for each: address,
/// attack, peak memory and its limit in MiB, threads, ordinary calls served
/// and tried.
template <class Function>
void attackAll(const TaskDaemon &Daemon, const std::string &Address,
               const std::string &Path, std::size_t BodyBytes, long MemoryMb,
               Function Probe) {
  for (const Attack &Each : attacksOn(Path, BodyBytes)) {
    std::atomic<bool> Ended{false};
    std::thread Attacker([&] {
      runAttack(Each, Address, Attackers, AttackSeconds, AttackBytesPerSecond);
      Ended = true;
    });
    int Served = 0;
    int Tried = 0;
    while (!Ended) {
      ++Tried;
      Served += Probe() ? 1 : 0;
    }
    Attacker.join();
    std::printf("| %s%s | %s | %ld | %ld | %ld | %d of %d |\n", Address.c_str(),
                Path.c_str(), Each.Name.c_str(), Daemon.status("VmHWM") / 1024,
                MemoryMb, Daemon.status("Threads"), Served, Tried);
    CHECK(Daemon.status("VmHWM") > 0);
    CHECK(Daemon.status("VmHWM") < MemoryMb * 1024);
    CHECK(Served > 0);
  }
  CHECK_TRUE(waitUntil(Probe));
}

} // namespace

TEST_GROUP(UntrustedTaskClient) { KvServer Store; };

// Guards against task entries that are killed, fail their probes or refuse
// jobs while clients send too much or too slowly.
TEST(UntrustedTaskClient, DoNotStopATaskEntry) {
  Store.put("op/config", configText(1, ""));
  const TaskDaemon Entry("baobabcove-task-entry", EntryIp, EntryMemoryMb,
                         Store.address());
  const std::string Front = EntryIp + ":8080";
  const std::string Ready = EntryIp + ":8081";
  HttpClient Readiness(Ready);
  HttpClient Clients(Front);
  const auto IsReady = [&] {
    return statusOf(Readiness, callOf("GET", "/-/readiness")) == 200;
  };
  int Number = 0;
  int Accepted = 0;
  const auto Submits = [&] {
    const bool Taken = statusOf(Clients, jobCall(++Number)) == 200;
    Accepted += Taken ? 1 : 0;
    std::this_thread::sleep_for(Milliseconds(20));
    return Taken && IsReady();
  };
  CHECK_TRUE(waitUntil(IsReady));
  CHECK_TRUE(waitUntil(Submits));
  attackAll(Entry, Front, "/queue/00000000000000ff", 262144, EntryMemoryMb,
            Submits);
  attackAll(Entry, Front, "/none", 262144, EntryMemoryMb, Submits);
  CHECK(Accepted > 0);
}

// Guards against task entries that fail their probes, and get no more clients,
// while the readiness address is attacked.
TEST(UntrustedTaskClient, DoNotStopProbesOfATaskEntry) {
  Store.put("op/config", configText(1, ""));
  const TaskDaemon Entry("baobabcove-task-entry", EntryIp, EntryMemoryMb,
                         Store.address());
  const std::string Front = EntryIp + ":8080";
  const std::string Ready = EntryIp + ":8081";
  HttpClient Readiness(Ready);
  HttpClient Clients(Front);
  const auto IsReady = [&] {
    return statusOf(Readiness, callOf("GET", "/-/readiness")) == 200;
  };
  int Number = 0;
  int Accepted = 0;
  const auto Submits = [&] {
    const bool Taken = statusOf(Clients, jobCall(++Number)) == 200;
    Accepted += Taken ? 1 : 0;
    std::this_thread::sleep_for(Milliseconds(20));
    return Taken && IsReady();
  };
  CHECK_TRUE(waitUntil(IsReady));
  CHECK_TRUE(waitUntil(Submits));
  attackAll(Entry, Ready, "/-/readiness", 65536, EntryMemoryMb, Submits);
  CHECK(Accepted > 0);
}

// Guards against agents that lose the heartbeats of their workers to clients
// that hold all threads of the control address.
TEST(UntrustedTaskClient, DoNotStopHeartbeatsToAnAgent) {
  const TaskDaemon Agent("baobabcove-task-agent", AgentIp, AgentMemoryMb,
                         Store.address());
  const std::string Control = AgentIp + ":8082";
  HttpClient Worker(Control);
  // The path is served as a heartbeat; its body is refused.
  const auto Beats = [&] {
    std::this_thread::sleep_for(Milliseconds(20));
    return statusOf(Worker, callOf("PUT", "/-/instances/i-1", "{}")) == 400;
  };
  CHECK_TRUE(waitUntil(Beats));
  attackAll(Agent, Control, "/-/instances/i-2", 65536, AgentMemoryMb, Beats);
}

// Guards against limits of the configuration that need a restart.
TEST(UntrustedTaskClient, LimitsFollowTheConfiguration) {
  Store.put("op/config", configText(1, ""));
  const TaskDaemon Entry("baobabcove-task-entry", EntryIp, EntryMemoryMb,
                         Store.address());
  HttpClient Clients(EntryIp + ":8080");
  const auto Sends = [&](std::size_t Bytes) {
    return statusOf(Clients,
                    callOf("POST", "/queue/0", std::string(Bytes, ' ')));
  };
  CHECK_TRUE(waitUntil([&] { return Sends(5000) == 400; }));
  LONGS_EQUAL(413, Sends(300000));
  Store.put("op/config", configText(2, R"("max_body_bytes":2000)"));
  CHECK_TRUE(waitUntil([&] { return Sends(5000) == 413; }));
  Store.put("op/config", configText(3, R"("max_body_bytes":400000)"));
  CHECK_TRUE(waitUntil([&] { return Sends(300000) == 400; }));
}
