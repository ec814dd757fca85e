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

constexpr Milliseconds PollPeriod{30};

std::string indexed(const std::string &Name, int I) {
  return Name + "-" + std::to_string(I);
}

void writeFile(const std::string &Path, const std::string &Content) {
  std::ofstream Out(Path);
  Out << Content;
}

} // namespace

Deployment::Deployment(const DeploymentOptions &Options) : Options(Options) {
  Poco::TemporaryFile Temporary;
  Temporary.createDirectories();
  Temporary.keepUntilExit();
  Folder = Temporary.path();
  Ready = startAll();
}

Deployment::~Deployment() = default;

std::string Deployment::programPath(const std::string &Name) const {
  return std::string(PROGRAM_FOLDER) + "/" + Name;
}

std::string Deployment::entryAddressList() const {
  const std::lock_guard<std::mutex> Lock(AddressMutex);
  std::string List;
  for (const std::string &Address : EntryRpcAddresses)
    List += (List.empty() ? "" : ", ") + Address;
  return "[" + List + "]";
}

std::string Deployment::entryHttpAddress(int I) const {
  const std::lock_guard<std::mutex> Lock(AddressMutex);
  return EntryHttpAddresses[I];
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
                         "\nentry_addresses: " + entryAddressList() +
                         "\nbootstrap_digest: " + sha256Hex(OperatorToken) +
                         "\nlame_duck_ms: 500\n" + Options.EntrySettings;
  if (Options.ProxyEntries)
    Settings +=
        "advertised_rpc_address: " + EntryProxies[I]->value("listen") + "\n";
  writeFile(Folder + "/" + Name + ".yaml", Settings);
  const bool Started =
      Entries[I]->start({programPath("baobabcove-entry"),
                         "--settings=" + Folder + "/" + Name + ".yaml"},
                        Folder + "/" + Name + ".log");
  if (!Started)
    return false;
  {
    const std::lock_guard<std::mutex> Lock(AddressMutex);
    EntryHttpAddresses.resize(Options.Entries);
    EntryHttpAddresses[I] = Entries[I]->value("http");
    if (EntryRpcAddresses.size() <= static_cast<std::size_t>(I))
      EntryRpcAddresses.resize(I + 1);
    EntryRpcAddresses[I] = Options.ProxyEntries
                               ? EntryProxies[I]->value("listen")
                               : Entries[I]->value("rpc");
  }
  return !Options.ProxyEntries ||
         sendControl(EntryProxies[I]->value("control"),
                     "/target?to=" + Entries[I]->value("rpc"));
}

const Process *Deployment::agentProxy(const std::string &Kind, int I) const {
  if (Kind == "minion")
    return Options.ProxyMinionAgents ? MinionAgentProxies[I].get() : nullptr;
  return Options.ProxyWorkerAgents ? WorkerAgentProxies[I].get() : nullptr;
}

std::vector<const Process *> Deployment::regionProcesses(int Odd) const {
  std::vector<const Process *> Result;
  for (const auto *List : {&Entries, &MinionAgents, &WorkerAgents})
    for (std::size_t I = Odd; I < List->size(); I += 2)
      Result.push_back((*List)[I].get());
  return Result;
}

bool Deployment::partitionRegions(bool Partitioned) {
  std::string Ids[2];
  for (int Odd = 0; Odd < 2; ++Odd)
    for (const Process *Each : regionProcesses(Odd))
      Ids[Odd] += (Ids[Odd].empty() ? "" : ",") + Each->id();
  const auto BlockClients = [&](const Process &Proxy, const std::string &From) {
    return sendControl(Proxy.value("control"),
                       "/bar?ids=" + (Partitioned ? From : ""));
  };
  bool Done = BlockClients(*StoreProxy, Ids[1]);
  for (const auto *List :
       {&EntryProxies, &MinionAgentProxies, &WorkerAgentProxies})
    for (std::size_t I = 0; I < List->size(); ++I)
      Done = BlockClients(*(*List)[I], Ids[1 - I % 2]) && Done;
  return Done;
}

bool Deployment::startAgent(const std::string &Name, const std::string &Kind,
                            int I, const std::string &Target, Process &Agent) {
  // Each rack has three minions and three workers.
  std::string Settings =
      "node: " + Name + "\nplace: a\ndata_centre: a-" +
      std::to_string(1 + I % Options.DataCentres) + "\nrack: r" +
      std::to_string(I / 3) + "\nentry_addresses: " + entryAddressList() +
      "\nstore_address: " + StoreAddress + "\ntarget_kind: " + Kind +
      "\ntarget_address: " + Target + "\nservice: " + Service + "\n" +
      Options.AgentSettings;
  const Process *Proxy = agentProxy(Kind, I);
  if (Proxy)
    Settings += "advertised_rpc_address: " + Proxy->value("listen") + "\n";
  writeFile(Folder + "/" + Name + ".yaml", Settings);
  const bool Started =
      Agent.start({programPath("baobabcove-agent"),
                   "--settings=" + Folder + "/" + Name + ".yaml"},
                  Folder + "/" + Name + ".log");
  if (!Started || !Proxy)
    return Started;
  return sendControl(Proxy->value("control"),
                     "/target?to=" + Agent.value("rpc"));
}

bool Deployment::startAll() {
  Store = std::make_unique<Process>();
  if (!Store->start({programPath("standin-store")}, Folder + "/store.log"))
    return false;
  StoreAddress = Store->value("store");
  const auto StartProxy = [&](const std::string &Name,
                              const std::string &Target) {
    auto Proxy = std::make_unique<Process>();
    if (!Proxy->start({programPath("standin-proxy"), "--target=" + Target},
                      Folder + "/" + Name + ".log"))
      Proxy.reset();
    return Proxy;
  };
  if (Options.ProxyStore) {
    StoreProxy = StartProxy("store-proxy", StoreAddress);
    StoreAddress = StoreProxy->value("listen");
  }
  for (int I = 0; I < Options.Entries; ++I) {
    if (Options.ProxyEntries)
      EntryProxies.push_back(StartProxy(indexed("entry-proxy", I), ""));
    Entries.push_back(std::make_unique<Process>());
    if (!startEntry(I))
      return false;
  }
  for (int I = 0; I < Options.Minions; ++I) {
    if (Options.ProxyMinionAgents)
      MinionAgentProxies.push_back(StartProxy(indexed("agent-proxy", I), ""));
    Minions.push_back(std::make_unique<Process>());
    MinionAgents.push_back(std::make_unique<Process>());
    if (!restartMinion(I) || !restartMinionAgent(I))
      return false;
  }
  for (int I = 0; I < Options.Workers; ++I) {
    if (Options.ProxyWorkerAgents)
      WorkerAgentProxies.push_back(StartProxy(indexed("worker-proxy", I), ""));
    Workers.push_back(std::make_unique<Process>());
    WorkerAgents.push_back(std::make_unique<Process>());
    if (!restartWorker(I) || !restartWorkerAgent(I))
      return false;
  }
  return waitFor([&] { return apply(0, 0, "", "first").Status == 200; }) &&
         waitFor([&] {
           return lowestVersion() >= 1 &&
                  (Options.Workers == 0 || coordinator() >= 0);
         });
}

bool Deployment::restartEntry(int I) {
  Entries[I]->kill();
  Entries[I] = std::make_unique<Process>();
  return startEntry(I);
}

bool Deployment::restartMinion(int I) {
  // The settings of the agent hold the address, so the minion must keep it.
  const std::string Address =
      Minions[I]->running() ? Minions[I]->value("http") : "127.0.0.1:0";
  Minions[I]->kill();
  Minions[I] = std::make_unique<Process>();
  return Minions[I]->start(
      {programPath("standin-minion"), "--address=" + Address,
       "--work_ms=" + std::to_string(Options.MinionWorkMs),
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
      {programPath("standin-worker"), "--address=" + Address,
       "--journal=" + Folder + "/" + indexed("worker", I) + ".journal"},
      Folder + "/" + indexed("worker", I) + ".log");
}

bool Deployment::restartWorkerAgent(int I) {
  WorkerAgents[I]->kill();
  WorkerAgents[I] = std::make_unique<Process>();
  return startAgent(indexed("bench", I), "worker", I, Workers[I]->value("http"),
                    *WorkerAgents[I]);
}

bool Deployment::sendControl(const std::string &Address,
                             const std::string &Path) {
  HttpClient Client(Address);
  HttpCall Call;
  Call.Path = Path;
  const auto Response = Client.call(Call);
  return Response && Response->Status == 200;
}

bool Deployment::controlStore(const std::string &Path) {
  return sendControl(Store->value("control"), Path);
}

bool Deployment::controlMinionAgentProxy(int I, const std::string &Path) {
  return sendControl(MinionAgentProxies[I]->value("control"), Path);
}

bool Deployment::controlEntryProxy(int I, const std::string &Path) {
  return sendControl(EntryProxies[I]->value("control"), Path);
}

bool Deployment::controlStoreProxy(const std::string &Path) {
  return sendControl(StoreProxy->value("control"), Path);
}

CallResult Deployment::call(int Entry, const std::string &Method,
                            const std::string &Path, const std::string &Body,
                            const std::string &Token, const std::string &Key,
                            int TimeoutMs) {
  HttpClient Client(entryHttpAddress(Entry));
  HttpCall Call;
  Call.Method = Method;
  Call.Path = Path;
  Call.Body = Body;
  Call.Timeout = Milliseconds(TimeoutMs);
  if (!Token.empty())
    Call.Headers["Authorization"] = "Bearer " + Token;
  if (!Key.empty())
    Call.Headers["Idempotency-Key"] = Key;
  const auto Response = Client.call(Call);
  CallResult Result;
  if (!Response)
    return Result;
  Result.Status = Response->Status;
  Result.Body = Response->Body;
  const std::size_t OutcomeAt = Result.Body.find("\"outcome\":\"");
  Result.Outcome = "answered";
  if (Result.Status != 200 && Result.Status != 202 &&
      OutcomeAt != std::string::npos) {
    const std::size_t From = OutcomeAt + 11;
    Result.Outcome =
        Result.Body.substr(From, Result.Body.find('"', From) - From);
  }
  return Result;
}

CallResult Deployment::request(int Entry, const std::string &Body,
                               bool Idempotent, const std::string &Key,
                               int DeadlineMs, const std::string &Token) {
  HttpClient Client(entryHttpAddress(Entry));
  return request(Client, Body, Idempotent, Key, DeadlineMs, Token);
}

CallResult Deployment::request(HttpClient &Client, const std::string &Body,
                               bool Idempotent, const std::string &Key,
                               int DeadlineMs, const std::string &Token) {
  HttpCall Call;
  Call.Path = std::string("/v1/services/") + Service + "/requests";
  Call.Body = Body;
  Call.ContentType = "text/plain";
  Call.Timeout = Milliseconds(DeadlineMs + 5000);
  Call.Headers["Authorization"] = "Bearer " + Token;
  Call.Headers["X-Idempotent"] = Idempotent ? "true" : "false";
  Call.Headers["X-Deadline-Ms"] = std::to_string(DeadlineMs);
  if (!Key.empty())
    Call.Headers["Idempotency-Key"] = Key;
  const auto Response = Client.call(Call);
  CallResult Result;
  if (!Response)
    return Result;
  Result.Status = Response->Status;
  Result.Body = Response->Body;
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
  const CallResult Response =
      call(Entry, "POST", "/v1/jobs", Spec, CallerToken, Key);
  wire::JobRecord Record;
  if (Response.Status != 202 || !fromJson(Response.Body, Record))
    return {};
  return Record.id();
}

wire::JobRecord Deployment::job(int Entry, const std::string &Id) {
  wire::JobRecord Record;
  const CallResult Response =
      call(Entry, "GET", "/v1/jobs/" + Id, "", OperatorToken);
  if (Response.Status == 200)
    (void)fromJson(Response.Body, Record);
  return Record;
}

bool Deployment::waitForJob(int Entry, const std::string &Id,
                            wire::JobState State, double Seconds) {
  return waitFor([&] { return job(Entry, Id).state() == State; }, Seconds);
}

std::string Deployment::configurationText(const std::string &Extra) const {
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
  File->set_content(configurationText(WorkspaceExtra));
  return call(Entry, "POST", "/v1/configuration", toJson(Change));
}

Poco::JSON::Object::Ptr Deployment::state(const std::string &HttpAddress) {
  HttpClient Client(HttpAddress);
  HttpCall Call;
  Call.Method = "GET";
  Call.Path = "/v1/state";
  Call.Headers["Authorization"] = std::string("Bearer ") + OperatorToken;
  const auto Response = Client.call(Call);
  if (!Response || Response->Status != 200)
    return nullptr;
  Poco::JSON::Parser Parser;
  return Parser.parse(Response->Body).extract<Poco::JSON::Object::Ptr>();
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

std::uint64_t Deployment::lowestVersion() {
  std::uint64_t Lowest = UINT64_MAX;
  const auto CollectVersions =
      [&](const std::vector<std::unique_ptr<Process>> &List) {
        for (const auto &Each : List) {
          if (!Each->running())
            continue;
          const auto Dump = state(Each->value("http"));
          Lowest = std::min(Lowest, Dump ? Dump->getValue<std::uint64_t>(
                                               "configuration_version")
                                         : 0);
        }
      };
  CollectVersions(Entries);
  CollectVersions(MinionAgents);
  CollectVersions(WorkerAgents);
  return Lowest;
}

bool Deployment::waitFor(const std::function<bool()> &Condition,
                         double Seconds) {
  const Instant Deadline =
      monotonicNow() + Milliseconds(static_cast<std::int64_t>(Seconds * 1000));
  while (!Condition()) {
    if (monotonicNow() > Deadline)
      return false;
    std::this_thread::sleep_for(PollPeriod);
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
    std::string LineEvent;
    Words >> Time >> LineEvent;
    if (LineEvent == Event)
      Lines.push_back(Line);
  }
  return Lines;
}

std::vector<std::string> Deployment::minionRuns() const {
  std::vector<std::string> All;
  for (int I = 0; I < Options.Minions; ++I)
    for (const std::string &Line : journal(indexed("minion", I), "run"))
      All.push_back(Line);
  return All;
}

std::vector<std::string>
findDuplicateRuns(const std::vector<std::string> &RunLines) {
  std::map<std::string, int> Counts;
  for (const std::string &Line : RunLines) {
    std::istringstream Words(Line);
    std::string Time;
    std::string Event;
    std::string Name;
    Words >> Time >> Event >> Name;
    ++Counts[Name];
  }
  std::vector<std::string> Duplicates;
  for (const auto &[Name, Count] : Counts)
    if (Count > 1)
      Duplicates.push_back(Name);
  return Duplicates;
}

} // namespace baobabcove::testing
