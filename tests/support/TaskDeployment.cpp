#include "TaskDeployment.h"

#include <cinttypes>
#include <cstdio>
#include <cstdlib>
#include <fstream>

#include <Poco/Net/NetException.h>
#include <unistd.h>

namespace baobabcove::testing {

namespace {

constexpr long EntryMemoryMb = 160;
constexpr long AgentMemoryMb = 128;
constexpr unsigned AgentNetwork = 160;
constexpr unsigned EntryNetwork = 128;
/// The users' time without a disturbance after which a process is in touch.
constexpr Milliseconds ContactTime{4000};

/// Returns a route for \p Prefix.
std::string routeText(const std::string &Name, const std::string &Prefix,
                      const std::string &Service, int MaxAttempts,
                      bool IsOpen = true) {
  return R"({"name":")" + Name + R"(","host":"jobs.example","prefix":")" +
         Prefix + R"(","service":")" + Service + R"(","allow_anonymous":)" +
         (IsOpen ? "true" : "false") + R"(,"priority":1,"stretch":3.0,)" +
         R"("target_latency_ms":1200,"max_attempts":)" +
         std::to_string(MaxAttempts) + "}";
}

} // namespace

LoopbackNetwork::LoopbackNetwork(unsigned First) {
  constexpr unsigned ThirdOctets = 256;
  constexpr Poco::UInt16 ClaimPort = 8079;
  const std::string Own = ownAddress(First);
  Prefix = Own.substr(0, Own.find('.', 4)) + ".";
  const auto Preferred = static_cast<unsigned>(::getpid());
  for (unsigned Tries = 0; Tries < ThirdOctets; ++Tries) {
    Third = std::to_string((Preferred + Tries) % ThirdOctets);
    try {
      Claim.bind({Prefix + Third + ".254", ClaimPort}, false);
      Claim.listen();
      return;
    } catch (const Poco::Net::NetException &) {
      Claim = Poco::Net::ServerSocket();
    }
  }
  throw Poco::Net::NetException("no free network below " + Prefix);
}

std::string LoopbackNetwork::address(std::size_t N) const {
  return Prefix + Third + "." + std::to_string(N + 1);
}

std::string queuePrefix(int Few) {
  return Few ? "/few-" + std::to_string(Few) + "/" : "/queue/";
}

std::string jobIdText(std::uint64_t Number) {
  char Id[17];
  std::snprintf(Id, sizeof(Id), "%016" PRIx64, Number);
  return Id;
}

HttpCall jobCall(const std::string &Method, const std::string &Id,
                 const std::string &Body, const std::string &Prefix) {
  HttpCall Call;
  Call.Method = Method;
  Call.Path = Prefix + Id;
  Call.Body = Body;
  Call.Headers["Host"] = "jobs.example";
  Call.Timeout = Milliseconds(3000);
  return Call;
}

TaskDeployment::TaskDeployment(std::size_t EntryCount, std::size_t AgentCount,
                               unsigned Seed, int Attempts)
    : MaxAttempts(Attempts), AgentAddresses(AgentNetwork),
      EntryAddresses(EntryNetwork) {
  changeConfig(1, 0);
  std::vector<std::string> WorkerIps;
  for (std::size_t N = 0; N < AgentCount; ++N) {
    WorkerIps.push_back(AgentAddresses.address(N));
    Agents.push_back(std::make_unique<TaskDaemon>(
        "baobabcove-task-agent", WorkerIps.back(), AgentMemoryMb,
        Store.openDoor(), "limits.cpu_share=0.15\n"));
  }
  FirstEntryDoor = AgentCount + 1;
  for (std::size_t N = 0; N < EntryCount; ++N)
    Entries.push_back(std::make_unique<TaskDaemon>(
        "baobabcove-task-entry", EntryAddresses.address(N), EntryMemoryMb,
        Store.openDoor(),
        N % 3 ? "limits.cpu_share=0.12\n" : "limits.cpu_share=0.5\n"));
  Fleet = std::make_unique<WorkerFleet>(WorkerIps, Seed);
}

void TaskDeployment::changeConfig(int Step, int MoreRoutes) {
  const std::lock_guard<std::mutex> Lock(ConfigMutex);
  writeConfig(Step, MoreRoutes);
}

void TaskDeployment::replaceKey() {
  const std::lock_guard<std::mutex> Lock(ConfigMutex);
  const std::string Last = changingKey();
  WithdrawnKeys.push_back({Last, Instant::max()});
  writeConfig(1, 0);
  WithdrawnKeys.back().At = monotonicNow();
  if (Fleet)
    Fleet->note("key withdrawn: " + Last);
}

std::vector<std::string>
TaskDeployment::keysWithdrawnBefore(Instant Time) const {
  const std::lock_guard<std::mutex> Lock(ConfigMutex);
  std::vector<std::string> Keys;
  for (const WithdrawnKey &Each : WithdrawnKeys)
    if (Each.At < Time)
      Keys.push_back(Each.Key);
  return Keys;
}

std::vector<std::unique_ptr<HttpClient>> TaskDeployment::clients() const {
  std::vector<std::unique_ptr<HttpClient>> Clients;
  for (const auto &Entry : Entries)
    Clients.push_back(std::make_unique<HttpClient>(Entry->ip() + ":8080"));
  return Clients;
}

bool TaskDeployment::isInTouch(std::size_t Entry, Instant Time) const {
  const Instant Since = Time - ContactTime;
  return Entries[Entry]->disturbedAt() < Since &&
         Store.disturbedAt(FirstEntryDoor + Entry) < Since;
}

void TaskDeployment::writeConfig(int Step, int MoreRoutes) {
  ConfigVersion += Step;
  std::string Routes = routeText("q", queuePrefix(), "planner", MaxAttempts);
  for (int Few : FewTaskAttempts)
    Routes += "," + routeText("few-" + std::to_string(Few), queuePrefix(Few),
                              "planner", Few);
  Routes +=
      "," + routeText("keyed", KeyedQueuePrefix, "planner", MaxAttempts, false);
  for (int R = 0; R < MoreRoutes; ++R) {
    const std::string Name = "r" + std::to_string(ConfigVersion % 3 + R);
    Routes += "," + routeText(Name, "/" + Name + "/",
                              R % 2 ? "planner" : "other", MaxAttempts);
  }
  if (Fleet)
    Fleet->note("config version " + std::to_string(ConfigVersion));
  Store.put("op/config", R"({"version":)" + std::to_string(ConfigVersion) +
                             R"(,"routes":[)" + Routes +
                             R"(],"tenants":[{"name":"kept","api_keys":[")" +
                             KeptKey +
                             R"("]},{"name":"changing","api_keys":[")" +
                             changingKey() + R"("]}]})");
}

void keepLogs(const TaskDeployment &System, const std::string &Name) {
  const char *Folder = std::getenv("TASK_SOAK_LOGS");
  if (!Folder)
    return;
  for (const auto *Kind : {&System.Entries, &System.Agents})
    for (const auto &Each : *Kind) {
      std::ifstream From(Each->logPath());
      std::ofstream(std::string(Folder) + "/" + Name + "-" + Each->ip())
          << From.rdbuf();
    }
  std::ofstream(std::string(Folder) + "/" + Name + "-fleet")
      << System.Fleet->events();
}

} // namespace baobabcove::testing
