#include "Deployment.h"

#include "base/Text.h"

#include <cstdlib>
#include <fstream>
#include <map>
#include <sstream>
#include <thread>

#include <Poco/JSON/Parser.h>
#include <Poco/TemporaryFile.h>

namespace baobabcove::testing {

namespace {

constexpr Milliseconds LookPeriod{30};

std::string indexed(const std::string &Name, int I) {
  return Name + "-" + std::to_string(I);
}

void writeFile(const std::string &Path, const std::string &Content) {
  std::ofstream Out(Path);
  Out << Content;
}

} // namespace

Deployment::Deployment(const DeploymentPlan &Plan) : Plan(Plan) {
  Poco::TemporaryFile Temporary;
  Temporary.createDirectories();
  Temporary.keepUntilExit();
  Folder = Temporary.path();
  Ready = startAll();
}

Deployment::~Deployment() = default;

std::string Deployment::program(const std::string &Name) const {
  return std::string(PROGRAM_FOLDER) + "/" + Name;
}

std::string Deployment::seeds() const {
  std::string List;
  for (const std::string &Address : EntryRpc)
    List += (List.empty() ? "" : ", ") + Address;
  return "[" + List + "]";
}

std::string Deployment::entryHttp(int I) const {
  const std::lock_guard<std::mutex> Lock(AddressMutex);
  return EntryHttp[I];
}

std::string Deployment::log(const std::string &Name) const {
  std::string Content;
  readFile(Folder + "/" + Name + ".log", Content);
  return Content;
}

bool Deployment::startEntry(int I) {
  const std::string Name = indexed("entry", I);
  std::string Settings = "node: " + Name + "\nplace: a\ndata_centre: a-1\n" +
                         "store_address: " + StoreAddress +
                         "\nentry_addresses: " + seeds() +
                         "\nbootstrap_digest: " + sha256Hex(OperatorToken) +
                         "\nlame_duck_ms: 500\n" + Plan.EntrySettings;
  if (Plan.ProxyEntries)
    Settings +=
        "advertised_rpc_address: " + EntryProxies[I]->value("listen") + "\n";
  writeFile(Folder + "/" + Name + ".yaml", Settings);
  const bool Started =
      Entries[I]->start({program("baobabcove-entry"),
                         "--settings=" + Folder + "/" + Name + ".yaml"},
                        Folder + "/" + Name + ".log");
  if (!Started)
    return false;
  {
    const std::lock_guard<std::mutex> Lock(AddressMutex);
    EntryHttp.resize(Plan.Entries);
    EntryHttp[I] = Entries[I]->value("http");
  }
  if (EntryRpc.size() <= static_cast<std::size_t>(I))
    EntryRpc.resize(I + 1);
  if (!Plan.ProxyEntries) {
    EntryRpc[I] = Entries[I]->value("rpc");
    return true;
  }
  EntryRpc[I] = EntryProxies[I]->value("listen");
  return order(EntryProxies[I]->value("control"),
               "/target?to=" + Entries[I]->value("rpc"));
}

const Process *Deployment::proxyOf(const std::string &Kind, int I) const {
  if (Kind == "minion")
    return Plan.ProxyAgents ? AgentProxies[I].get() : nullptr;
  return Plan.ProxyWorkers ? WorkerProxies[I].get() : nullptr;
}

/// The daemons of even or odd number.
std::vector<const Process *> Deployment::region(int Odd) const {
  std::vector<const Process *> Result;
  for (const auto *List : {&Entries, &MinionAgents, &WorkerAgents})
    for (std::size_t I = Odd; I < List->size(); I += 2)
      Result.push_back((*List)[I].get());
  return Result;
}

bool Deployment::cutRegions(bool Cut) {
  std::string Ids[2];
  for (int Odd = 0; Odd < 2; ++Odd)
    for (const Process *Each : region(Odd))
      Ids[Odd] += (Ids[Odd].empty() ? "" : ",") + Each->id();
  const auto Bar = [&](const Process &Proxy, const std::string &From) {
    return order(Proxy.value("control"), "/bar?ids=" + (Cut ? From : ""));
  };
  bool Done = Bar(*StoreProxy, Ids[1]);
  for (const auto *List : {&EntryProxies, &AgentProxies, &WorkerProxies})
    for (std::size_t I = 0; I < List->size(); ++I)
      Done = Bar(*(*List)[I], Ids[1 - I % 2]) && Done;
  return Done;
}

bool Deployment::startAgent(const std::string &Name, const std::string &Kind,
                            int I, const std::string &Target, Process &Agent) {
  // Minions and workers stand in turn in two racks.
  std::string Settings =
      "node: " + Name + "\nplace: a\ndata_centre: a-1\n" + "rack: r" +
      std::to_string(I / 3) + "\nentry_addresses: " + seeds() +
      "\nstore_address: " + StoreAddress + "\ntarget_kind: " + Kind +
      "\ntarget_address: " + Target + "\nservice: " + Service + "\n" +
      Plan.AgentSettings;
  const Process *Proxy = proxyOf(Kind, I);
  if (Proxy)
    Settings += "advertised_rpc_address: " + Proxy->value("listen") + "\n";
  writeFile(Folder + "/" + Name + ".yaml", Settings);
  const bool Started =
      Agent.start({program("baobabcove-agent"),
                   "--settings=" + Folder + "/" + Name + ".yaml"},
                  Folder + "/" + Name + ".log");
  if (!Started || !Proxy)
    return Started;
  return order(Proxy->value("control"), "/target?to=" + Agent.value("rpc"));
}

bool Deployment::startAll() {
  Store = std::make_unique<Process>();
  if (!Store->start({program("standin-store")}, Folder + "/store.log"))
    return false;
  StoreAddress = Store->value("store");
  const auto StartProxy = [&](const std::string &Name,
                              const std::string &Target) {
    auto Proxy = std::make_unique<Process>();
    if (!Proxy->start({program("standin-proxy"), "--target=" + Target},
                      Folder + "/" + Name + ".log"))
      Proxy.reset();
    return Proxy;
  };
  if (Plan.ProxyStore) {
    StoreProxy = StartProxy("store-proxy", StoreAddress);
    StoreAddress = StoreProxy->value("listen");
  }
  for (int I = 0; I < Plan.Entries; ++I) {
    if (Plan.ProxyEntries)
      EntryProxies.push_back(StartProxy(indexed("entry-proxy", I), ""));
    Entries.push_back(std::make_unique<Process>());
    if (!startEntry(I))
      return false;
  }
  for (int I = 0; I < Plan.Minions; ++I) {
    if (Plan.ProxyAgents)
      AgentProxies.push_back(StartProxy(indexed("agent-proxy", I), ""));
    Minions.push_back(std::make_unique<Process>());
    MinionAgents.push_back(std::make_unique<Process>());
    if (!restartMinion(I) || !restartMinionAgent(I))
      return false;
  }
  for (int I = 0; I < Plan.Workers; ++I) {
    if (Plan.ProxyWorkers)
      WorkerProxies.push_back(StartProxy(indexed("worker-proxy", I), ""));
    Workers.push_back(std::make_unique<Process>());
    WorkerAgents.push_back(std::make_unique<Process>());
    if (!restartWorker(I) || !restartWorkerAgent(I))
      return false;
  }
  return waitFor([&] { return apply(0, 0, "", "first").Status == 200; }) &&
         waitFor([&] {
           return leastVersion() >= 1 &&
                  (Plan.Workers == 0 || coordinator() >= 0);
         });
}

bool Deployment::restartEntry(int I) {
  Entries[I]->kill();
  Entries[I] = std::make_unique<Process>();
  return startEntry(I);
}

bool Deployment::restartMinion(int I) {
  // The agent keeps its target's address, so the minion comes back at it.
  const std::string Address =
      Minions[I]->running() ? Minions[I]->value("http") : "127.0.0.1:0";
  Minions[I]->kill();
  Minions[I] = std::make_unique<Process>();
  return Minions[I]->start(
      {program("standin-minion"), "--address=" + Address,
       "--work_ms=" + std::to_string(Plan.MinionWorkMs),
       "--journal=" + Folder + "/" + indexed("minion", I) + ".journal"},
      Folder + "/" + indexed("minion", I) + ".log");
}

bool Deployment::restartMinionAgent(int I) {
  MinionAgents[I]->kill();
  MinionAgents[I] = std::make_unique<Process>();
  return startAgent(indexed("planner", I), "minion", I,
                    Minions[I]->value("http"), *MinionAgents[I]);
}

bool Deployment::restartWorker(int I) {
  const std::string Address =
      Workers[I]->running() ? Workers[I]->value("http") : "127.0.0.1:0";
  Workers[I]->kill();
  Workers[I] = std::make_unique<Process>();
  return Workers[I]->start(
      {program("standin-worker"), "--address=" + Address,
       "--journal=" + Folder + "/" + indexed("worker", I) + ".journal"},
      Folder + "/" + indexed("worker", I) + ".log");
}

bool Deployment::restartWorkerAgent(int I) {
  WorkerAgents[I]->kill();
  WorkerAgents[I] = std::make_unique<Process>();
  return startAgent(indexed("bench", I), "worker", I, Workers[I]->value("http"),
                    *WorkerAgents[I]);
}

bool Deployment::order(const std::string &Address, const std::string &Path) {
  HttpClient Client(Address);
  HttpCall Call;
  Call.Path = Path;
  const auto Answer = Client.call(Call);
  return Answer && Answer->Status == 200;
}

bool Deployment::orderStore(const std::string &Path) {
  return order(Store->value("control"), Path);
}

bool Deployment::orderAgentProxy(int I, const std::string &Path) {
  return order(AgentProxies[I]->value("control"), Path);
}

bool Deployment::orderEntryProxy(int I, const std::string &Path) {
  return order(EntryProxies[I]->value("control"), Path);
}

bool Deployment::orderStoreProxy(const std::string &Path) {
  return order(StoreProxy->value("control"), Path);
}

CallResult Deployment::call(int Entry, const std::string &Method,
                            const std::string &Path, const std::string &Body,
                            const std::string &Token, const std::string &Key,
                            int PatienceMs) {
  HttpClient Client(entryHttp(Entry));
  HttpCall Call;
  Call.Method = Method;
  Call.Path = Path;
  Call.Body = Body;
  Call.Patience = Milliseconds(PatienceMs);
  if (!Token.empty())
    Call.Headers["Authorization"] = "Bearer " + Token;
  if (!Key.empty())
    Call.Headers["Idempotency-Key"] = Key;
  const auto Answer = Client.call(Call);
  CallResult Result;
  if (!Answer)
    return Result;
  Result.Status = Answer->Status;
  Result.Body = Answer->Body;
  const std::size_t At = Result.Body.find("\"outcome\":\"");
  Result.Outcome = "answered";
  if (Result.Status != 200 && Result.Status != 202 && At != std::string::npos) {
    const std::size_t From = At + 11;
    Result.Outcome =
        Result.Body.substr(From, Result.Body.find('"', From) - From);
  }
  return Result;
}

CallResult Deployment::request(int Entry, const std::string &Body,
                               bool Idempotent, const std::string &Key,
                               int DeadlineMs, const std::string &Token) {
  HttpClient Client(entryHttp(Entry));
  HttpCall Call;
  Call.Path = std::string("/v1/services/") + Service + "/requests";
  Call.Body = Body;
  Call.ContentType = "text/plain";
  Call.Patience = Milliseconds(DeadlineMs + 5000);
  Call.Headers["Authorization"] = "Bearer " + Token;
  Call.Headers["X-Idempotent"] = Idempotent ? "true" : "false";
  Call.Headers["X-Deadline-Ms"] = std::to_string(DeadlineMs);
  if (!Key.empty())
    Call.Headers["Idempotency-Key"] = Key;
  const auto Answer = Client.call(Call);
  CallResult Result;
  if (!Answer)
    return Result;
  Result.Status = Answer->Status;
  Result.Body = Answer->Body;
  Result.Outcome = "answered";
  if (Result.Status != 200) {
    Result.Outcome = "unknown";
    if (Result.Body.find("\"outcome\":\"not run\"") != std::string::npos)
      Result.Outcome = "not run";
  }
  return Result;
}

std::string Deployment::submit(int Entry, const std::string &Spec,
                               const std::string &Key) {
  const CallResult Answer =
      call(Entry, "POST", "/v1/jobs", Spec, CallerToken, Key);
  wire::JobRecord Record;
  if (Answer.Status != 202 || !fromJson(Answer.Body, Record))
    return {};
  return Record.id();
}

wire::JobRecord Deployment::job(int Entry, const std::string &Id) {
  wire::JobRecord Record;
  const CallResult Answer =
      call(Entry, "GET", "/v1/jobs/" + Id, "", OperatorToken);
  if (Answer.Status == 200)
    (void)fromJson(Answer.Body, Record);
  return Record;
}

bool Deployment::waitJob(int Entry, const std::string &Id, wire::JobState State,
                         double Seconds) {
  return waitFor([&] { return job(Entry, Id).state() == State; }, Seconds);
}

std::string Deployment::baseFiles(const std::string &Extra) const {
  const auto Digest = [](const char *Token) { return sha256Hex(Token); };
  return std::string("operators:\n  yuki: {token: ") + Digest(OperatorToken) +
         "}\nservices:\n  " + Service +
         ": {}\nworkspaces:\n  shed:\n    tokens: [" + Digest(CallerToken) +
         "]\n    max_requests: 400\n  other:\n    tokens: [" +
         Digest(OtherToken) + "]\n    max_requests: 400\n" + Extra;
}

CallResult Deployment::apply(int Entry, std::uint64_t BaseVersion,
                             const std::string &WorkspaceExtra,
                             const std::string &ChangeId) {
  wire::ApplyRequest Change;
  Change.set_base_version(BaseVersion);
  Change.set_change_id(ChangeId);
  auto *File = Change.add_files();
  File->set_name("10-all.yaml");
  File->set_content(baseFiles(WorkspaceExtra));
  return call(Entry, "POST", "/v1/configuration", toJson(Change));
}

Poco::JSON::Object::Ptr Deployment::state(const std::string &HttpAddress) {
  HttpClient Client(HttpAddress);
  HttpCall Call;
  Call.Method = "GET";
  Call.Path = "/v1/state";
  Call.Headers["Authorization"] = std::string("Bearer ") + OperatorToken;
  const auto Answer = Client.call(Call);
  if (!Answer || Answer->Status != 200)
    return nullptr;
  Poco::JSON::Parser Parser;
  return Parser.parse(Answer->Body).extract<Poco::JSON::Object::Ptr>();
}

int Deployment::coordinator() {
  for (std::size_t I = 0; I < Entries.size(); ++I) {
    if (!Entries[I]->running())
      continue;
    const auto Dump = state(Entries[I]->value("http"));
    if (Dump &&
        Dump->getObject("coordinator")->getValue<std::string>("stage") ==
            "deciding")
      return static_cast<int>(I);
  }
  return -1;
}

std::uint64_t Deployment::leastVersion() {
  std::uint64_t Least = UINT64_MAX;
  const auto Look = [&](const std::vector<std::unique_ptr<Process>> &List) {
    for (const auto &Each : List) {
      if (!Each->running())
        continue;
      const auto Dump = state(Each->value("http"));
      Least = std::min(
          Least,
          Dump ? Dump->getValue<std::uint64_t>("configuration_version") : 0);
    }
  };
  Look(Entries);
  Look(MinionAgents);
  Look(WorkerAgents);
  return Least;
}

bool Deployment::waitFor(const std::function<bool()> &Condition,
                         double Seconds) {
  const Instant Deadline =
      monotonicNow() + Milliseconds(static_cast<std::int64_t>(Seconds * 1000));
  while (!Condition()) {
    if (monotonicNow() > Deadline)
      return false;
    std::this_thread::sleep_for(LookPeriod);
  }
  return true;
}

std::vector<std::string> Deployment::journal(const std::string &Name) const {
  std::ifstream In(Folder + "/" + Name + ".journal");
  std::vector<std::string> Lines;
  for (std::string Line; std::getline(In, Line);)
    Lines.push_back(Line);
  return Lines;
}

std::vector<std::string> Deployment::journal(const std::string &Name,
                                             const std::string &Event) const {
  std::vector<std::string> Lines;
  for (const std::string &Line : journal(Name)) {
    std::istringstream Words(Line);
    std::string Time;
    std::string What;
    Words >> Time >> What;
    if (What == Event)
      Lines.push_back(Line);
  }
  return Lines;
}

std::vector<std::string> Deployment::minionRuns() const {
  std::vector<std::string> All;
  for (int I = 0; I < Plan.Minions; ++I)
    for (const std::string &Line : journal(indexed("minion", I), "run"))
      All.push_back(Line);
  return All;
}

std::vector<std::string> ranTwice(const std::vector<std::string> &RunLines) {
  std::map<std::string, int> Counts;
  for (const std::string &Line : RunLines) {
    std::istringstream Words(Line);
    std::string Time;
    std::string Event;
    std::string Name;
    Words >> Time >> Event >> Name;
    ++Counts[Name];
  }
  std::vector<std::string> Twice;
  for (const auto &[Name, Count] : Counts)
    if (Count > 1)
      Twice.push_back(Name);
  return Twice;
}

} // namespace baobabcove::testing
