#include "System.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <thread>

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace baobabcove::review {

namespace {

constexpr Milliseconds ClientTimeout{3000};
constexpr Milliseconds StartTimeout{15000};
constexpr Milliseconds PollPeriod{50};

} // namespace

const std::string Prefix = "/lohu930/";

Daemon::Daemon(std::string Command, std::filesystem::path Settings,
               const std::string &Text)
    : Command(std::move(Command)), Settings(std::move(Settings)) {
  std::ofstream(this->Settings) << Text;
}

Daemon::~Daemon() { kill(); }

void Daemon::start() {
  std::vector<std::string> Words;
  std::istringstream In(Command);
  for (std::string Word; In >> Word;)
    Words.push_back(Word);
  const std::string Boot = "BAOBABCOVE_BOOT=" + Settings.string();
  const std::string Log = Settings.string() + ".log";
  const char *Path = std::getenv("PATH");
  const std::string PathVariable =
      std::string("PATH=") + (Path ? Path : "/usr/bin:/bin");
  std::vector<char *> Arguments;
  Arguments.reserve(Words.size() + 1);
  for (std::string &Word : Words)
    Arguments.push_back(Word.data());
  Arguments.push_back(nullptr);
  std::vector<std::string> Variables = {Boot, PathVariable, "LANG=C.UTF-8"};
  std::vector<char *> Environment;
  Environment.reserve(Variables.size() + 1);
  for (std::string &Variable : Variables)
    Environment.push_back(Variable.data());
  Environment.push_back(nullptr);
  Id = ::fork();
  if (Id != 0)
    return;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int Out = ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::dup2(Out, STDOUT_FILENO);
  ::dup2(Out, STDERR_FILENO);
  ::close_range(STDERR_FILENO + 1, ~0U, 0);
  ::execve(Arguments.front(), Arguments.data(), Environment.data());
  ::_exit(127);
}

void Daemon::signal(int Number) const {
  if (Id > 0)
    ::kill(Id, Number);
}

void Daemon::kill() {
  if (Id <= 0)
    return;
  ::kill(Id, SIGKILL);
  ::waitpid(Id, nullptr, 0);
  Id = -1;
}

bool Daemon::isRunning() {
  if (Id > 0 && ::waitpid(Id, nullptr, WNOHANG) == Id)
    Id = -1;
  return Id > 0;
}

System::System(Record &Events, const CaseFiles &Files, std::size_t EntryCount,
               std::size_t AgentCount)
    : Kv(Events), Events(Events), Files(Files), EntryCount(EntryCount),
      AgentCount(AgentCount) {}

System::~System() {
  for (const auto &Each : Agents)
    Each->kill();
  for (const auto &Each : Entries)
    Each->kill();
}

bool System::findNetwork() {
  constexpr unsigned Networks = 200;
  constexpr Poco::UInt16 ClaimPort = 8083;
  const auto First = static_cast<unsigned>(::getpid());
  for (unsigned Tries = 0; Tries < Networks; ++Tries) {
    Network = "127.97." + std::to_string((First + Tries) % Networks) + ".";
    try {
      Poco::Net::ServerSocket Claim;
      Claim.bind(Poco::Net::SocketAddress(Network + "254", ClaimPort), false);
      if (Kv.listen(Network + "253:8524"))
        return true;
    } catch (const Poco::Exception &) {
      continue;
    }
  }
  return false;
}

std::string System::entryIp(std::size_t N) const {
  return Network + std::to_string(N + 1);
}

std::string System::agentIp(std::size_t N) const {
  constexpr std::size_t FirstAgent = 20;
  return Network + std::to_string(FirstAgent + N);
}

std::string System::settings(const std::string &Node, const std::string &Ip,
                             bool IsEntry) const {
  std::ostringstream Out;
  Out << "node=" << Node << "\nrole=" << (IsEntry ? "entry" : "agent")
      << "\nmachine_class=" << (IsEntry ? "front" : "side")
      << "\nserves=" << (IsEntry ? "front" : "side") << "\nip=" << Ip
      << "\nzone=z\nregion=r\nzones.z=r\n";
  if (IsEntry)
    Out << "listen.front=" << Ip << ":8521\nlisten.ready=" << Ip << ":8523\n";
  else
    Out << "listen.control=" << Ip << ":8082\n";
  Out << "port_range=7000,7015\nseeds=\nbootstrap=true\ncounts_as_loss="
      << (IsEntry ? "true" : "false")
      << "\nlimits.cpu_share=" << (IsEntry ? "0.25" : "0.15")
      << "\nlimits.cores=1\nlimits.memory_mb=" << (IsEntry ? 260 : 128)
      << "\nlimits.max_fds=4100\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\n"
      << "discovery=local\nentry=vip\nheartbeat_ms=1500\n"
      << "contracts=base,drain,config,cost,recover,sched,tenants,platform\n"
      << "bounds.contact_ms=4000\nbounds.ack_ms=5000\nbounds.drain_ms=2500\n"
      << "bounds.grace_s=6\nbounds.config_apply_ms=2500\n"
      << "bounds.fail_closed=true\nbounds.revoke_ms=5000\n"
      << "bounds.max_hold_ms=6000\nbounds.stop_ms=400\n"
      << "bounds.gang_wait_ms=3000\nbounds.cancel_ms=3000\n"
      << "bounds.visible_ms=3000\nbounds.finish_s=14\nbounds.status_s=120\n"
      << "bounds.remote_penalty=3\nbounds.restore_ms=600\norders=invoke\n"
      << "platform.address=" << Kv.address()
      << "\nplatform.form=kv\nplatform.writes_per_s=400\n"
      << "platform.reads_per_s=2000\nplatform.history_s=20\n"
      << "platform.value_bytes=1048576\nplatform.ttl_min_ms=1000\n";
  return Out.str();
}

bool System::start(const std::string &Config) {
  if (!findNetwork())
    return false;
  Kv.put("op/config", Config);
  for (std::size_t N = 0; N < EntryCount; ++N) {
    const std::string Node = "front-z-" + std::to_string(N + 1);
    Entries.push_back(
        std::make_unique<Daemon>(Files.EntryCommand, Files.Temporary / Node,
                                 settings(Node, entryIp(N), true)));
    Entries.back()->start();
  }
  for (std::size_t N = 0; N < AgentCount; ++N) {
    constexpr std::size_t WorkersPerRack = 3;
    const std::string Node = "side-z-" + std::to_string(N + 1);
    Agents.push_back(
        std::make_unique<Daemon>(Files.AgentCommand, Files.Temporary / Node,
                                 settings(Node, agentIp(N), false)));
    Agents.back()->start();
    Workers.push_back(std::make_unique<Worker>(
        Events, Ledger, agentIp(N), "r" + std::to_string(N / WorkersPerRack)));
    if (!Workers.back()->start())
      return false;
  }
  const Instant End = monotonicNow() + StartTimeout;
  for (std::size_t N = 0; N < EntryCount;) {
    HttpClient Probe(entryIp(N) + ":8523");
    HttpCall Call;
    Call.Method = "GET";
    Call.Path = "/-/readiness";
    Call.Timeout = Milliseconds(500);
    const auto Answer = Probe.call(Call);
    if (Answer && Answer->Status == 200)
      ++N;
    else if (monotonicNow() > End)
      return false;
    else
      std::this_thread::sleep_for(PollPeriod);
  }
  // The workers are known to the coordinator by then.
  std::this_thread::sleep_for(Milliseconds(6000));
  return true;
}

ClientAnswer System::call(std::size_t Entry, const std::string &Method,
                          const std::string &Path, const std::string &Body,
                          const std::string &Key) {
  HttpClient Client(entryIp(Entry) + ":8521");
  HttpCall Call;
  Call.Method = Method;
  Call.Path = Path;
  Call.Body = Body;
  Call.Timeout = ClientTimeout;
  Call.Headers["Host"] = "nony24.example";
  if (!Key.empty())
    Call.Headers["Authorization"] = "Bearer " + Key;
  Events.note("client: " + Method + " " + Path + " at entry " +
              std::to_string(Entry + 1) + (Key.empty() ? "" : " key " + Key) +
              " " + Body);
  const auto Answer = Client.call(Call);
  ClientAnswer Result;
  if (Answer)
    Result = {Answer->Status, Answer->Body};
  Events.note("client: " + Method + " " + Path + " answered " +
              std::to_string(Result.Status) + " " + Result.Body);
  return Result;
}

std::string configText(int Version, const std::vector<std::string> &Keys,
                       int MaxAttempts, bool Anonymous) {
  std::string KeyList;
  for (const std::string &Key : Keys)
    KeyList += (KeyList.empty() ? "\"" : ",\"") + Key + "\"";
  return R"({"version":)" + std::to_string(Version) +
         R"(,"routes":[{"name":"jobs","host":"nony24.example","prefix":")" +
         Prefix + R"(","service":"planner","priority":0,"stretch":3.0,)" +
         R"("target_latency_ms":1200,"max_attempts":)" +
         std::to_string(MaxAttempts) +
         (Anonymous ? R"(,"allow_anonymous":true)" : "") +
         R"(}],"services":[{"name":"planner","admission_check":true}],)" +
         R"("tenants":[{"name":"t1","api_keys":[)" + KeyList + "]}]}";
}

std::string jobText(const Work &Task, std::size_t Count) {
  return R"({"spec":")" + Task.spec() + R"(","steps":[{"count":)" +
         std::to_string(Count) + R"(,"cpu":1000,"mem_mb":1024,"gpu":)" +
         std::to_string(Task.Accelerators) +
         (Task.Lasts
              ? std::string(R"(,"long_running":true)")
              : R"(,"estimate_ms":)" + std::to_string(Task.Duration.count())) +
         "}]}";
}

std::string jobId(std::size_t N) {
  constexpr std::size_t Length = 17;
  char Text[Length];
  (void)std::snprintf(Text, sizeof(Text), "%016zx", 0x5c0e7a0000000000 + N);
  return Text;
}

} // namespace baobabcove::review
