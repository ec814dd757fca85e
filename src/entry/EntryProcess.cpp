#include "entry/EntryProcess.h"

#include "base/Log.h"
#include "base/ProcessStats.h"
#include "base/StateDump.h"

#include <Poco/JSON/Array.h>

namespace baobabcove {

namespace {

constexpr Milliseconds HousekeepingPeriod{100};
constexpr Milliseconds WatchRetryDelay{300};
constexpr Milliseconds ConfigurationTimeout{2000};
constexpr Milliseconds ConfigurationPollPeriod{5};
constexpr Milliseconds DrainCallTimeout{1000};
/// Members without a heartbeat for this long are removed.
constexpr Milliseconds MemberRetention{600000};
/// Age reported when there was never contact with the coordinator.
constexpr Milliseconds NeverSeenAge{365LL * 24 * 3600 * 1000};

HttpLimits limitsOf(const Settings &Options) {
  HttpLimits Limits;
  Limits.Threads = Options.HttpThreads;
  Limits.Connections = Options.MaxConnections;
  Limits.ConnectionsPerPeer = Limits.Connections * 3 / 4;
  Limits.ReceiveTimeout = Milliseconds(Options.HeaderTimeoutMs);
  return Limits;
}

/// Resources of the HTTP interface, which serves callers, probes and operators
/// at one address.
HttpResources resourcesOf(const Settings &Options, Metrics &Stats) {
  HttpResources Resources;
  Resources.Budget = makeMemoryBudget(Options.ProcessMemoryMb);
  Resources.Stats = &Stats;
  Resources.IsSystemRequest = [](const HttpRequest &Request) {
    return Request.Path == "/healthz" || Request.Path == "/v1/state";
  };
  return Resources;
}

HttpResponse jsonResponse(const Poco::JSON::Object::Ptr &Body) {
  HttpResponse Response;
  Response.Body = dumpText(Body);
  return Response;
}

/// Matches a path against a pattern with at most one "*" segment and stores the
/// text that "*" matches in \p Segment.
bool matches(const std::string &Path, const std::string &Pattern,
             std::string &Segment) {
  const std::size_t Wildcard = Pattern.find('*');
  if (Wildcard == std::string::npos)
    return Path == Pattern;
  const std::string Tail = Pattern.substr(Wildcard + 1);
  if (Path.size() <= Wildcard + Tail.size() ||
      Path.compare(0, Wildcard, Pattern, 0, Wildcard) != 0 ||
      Path.compare(Path.size() - Tail.size(), Tail.size(), Tail) != 0)
    return false;
  Segment = Path.substr(Wildcard, Path.size() - Wildcard - Tail.size());
  return Segment.find('/') == std::string::npos;
}

} // namespace

EntryProcess::EntryProcess(const Settings &Options, StateCharts Charts)
    : Options(Options), Charts(std::move(Charts)),
      Incarnation(static_cast<std::uint64_t>(wallClockMs())),
      StoreClient(makeHttpStore(Options.StoreAddress)),
      WatchStoreClient(makeHttpStore(Options.StoreAddress)),
      EvacuationStoreClient(makeHttpStore(Options.StoreAddress)),
      Evacuated(*EvacuationStoreClient, Options.Cell),
      Claims(*StoreClient, std::chrono::seconds(Options.ClaimTtlS)),
      RequestRouter(this->Options, Membership, Peers, Claims, Stats),
      JobRecords(*StoreClient, Options.Cell),
      Context{this->Options, Incarnation,  Stats,      *StoreClient, Peers,
              Membership,    ActiveConfig, JobRecords, RequestRouter},
      Requests(Context), Jobs(Context), Configurations(Context),
      Evacuations(Context, Evacuated) {}

EntryProcess::~EntryProcess() {
  Stopping = true;
  if (HousekeepingThread.joinable())
    HousekeepingThread.join();
  if (ConfigurationWatchThread.joinable())
    ConfigurationWatchThread.join();
}

Expected<void> EntryProcess::start() {
  CellCoordinator = std::make_unique<Coordinator>(
      Options, Charts.Job, *StoreClient, Peers, JobRecords, Membership,
      ActiveConfig, Stats);
  Heartbeats = std::make_unique<HeartbeatSender>(
      Peers, ActiveConfig, Milliseconds(Options.HeartbeatMs),
      [this] { return buildHeartbeat(); },
      [this](const wire::HeartbeatReply &Reply, Instant SentAt) {
        onHeartbeatReply(Reply, SentAt);
      });
  ActiveConfig.addListener([this](const Configuration &) {
    CellCoordinator->configurationChanged();
    Heartbeats->sendNow();
  });
  Role = std::make_unique<CoordinatorElection>(
      Options, Incarnation, *StoreClient,
      [this](Epoch Held) { CellCoordinator->roleChanged(Held); });
  auto Server = serveRpc(Options.RpcAddress, this, nullptr);
  if (!Server)
    return tl::unexpected<Error>(Server.error());
  Rpc = std::move(*Server);
  ConfigurationWatchThread = std::thread([this] { watchConfiguration(); });
  Evacuated.start();
  // Wait for the configuration, which holds the callers' tokens, and for the
  // evacuations, which hold before this entry can coordinate; serve without
  // them after the timeout if the store is unavailable.
  const Instant Deadline = monotonicNow() + ConfigurationTimeout;
  while ((!ConfigurationRead || !Evacuated.isRead()) &&
         monotonicNow() < Deadline)
    std::this_thread::sleep_for(ConfigurationPollPeriod);
  auto Served = serveHttp(
      Options.HttpAddress, limitsOf(Options),
      [this](const HttpRequest &Request) { return handleHttp(Request); },
      resourcesOf(Options, Stats));
  if (!Served)
    return tl::unexpected<Error>(Served.error());
  Http = std::move(*Served);
  JobRecords.start(
      [this](const StoredJob &Job) { CellCoordinator->jobChanged(Job); });
  HousekeepingThread = std::thread([this] { housekeepingLoop(); });
  Role->start(Rpc->address());
  for (const std::string &Address : Options.EntryAddresses)
    if (Address != Rpc->address())
      Heartbeats->add(Address, true);
  LOG4CPLUS_INFO(logOf("entry"), "Serving at " << Http->address() << ".");
  return {};
}

void EntryProcess::stop(Milliseconds Timeout) {
  LOG4CPLUS_INFO(logOf("entry"), "Graceful shutdown started.");
  Draining = true;
  Heartbeats->sendNow();
  // Time for the load balancer to see the failing readiness check and stop
  // sending new connections.
  std::this_thread::sleep_for(Milliseconds(Options.LameDuckMs));
  if (!Http->drain(Timeout))
    LOG4CPLUS_WARN(logOf("entry"),
                   "Stopping while requests are still running.");
  Role->resign();
  Rpc->shutdown(DrainCallTimeout);
  Leaving = true;
  Heartbeats->stop();
  const auto OwnRecord = StoreClient->read(entryKey());
  if (OwnRecord && OwnRecord->Revision != 0)
    (void)StoreClient->remove(entryKey(), OwnRecord->Revision);
  LOG4CPLUS_INFO(logOf("entry"), "Graceful shutdown completed.");
}

std::string EntryProcess::advertisedAddress() const {
  return Options.AdvertisedRpcAddress.empty() ? Rpc->address()
                                              : Options.AdvertisedRpcAddress;
}

std::string EntryProcess::entryKey() const {
  return "entries/" + Options.Cell + "/" + Options.Node;
}

/// Writes this entry's record to the store. Without the record a later
/// coordinator does not know that this entry may confirm workers as alive.
bool EntryProcess::registerEntry() {
  const auto Stored = StoreClient->read(entryKey());
  if (!Stored)
    return false;
  wire::EntryRecord OwnRecord;
  OwnRecord.set_node(Options.Node);
  OwnRecord.set_incarnation(Incarnation);
  OwnRecord.set_rpc_address(advertisedAddress());
  return Stored->Value == OwnRecord.SerializeAsString() ||
         StoreClient
             ->swap(entryKey(), Stored->Revision, OwnRecord.SerializeAsString(),
                    0)
             .has_value();
}

void EntryProcess::housekeepingLoop() {
  while (!Stopping) {
    if (!Registered)
      Registered = registerEntry();
    RequestRouter.pool().membersChanged();
    Membership.removeStale(MemberRetention, monotonicNow());
    for (const auto &Entry :
         Membership.alive(wire::ENTRY, Milliseconds(Options.MinionSilenceMs),
                          monotonicNow()))
      Heartbeats->add(Entry.LastHeartbeat.rpc_address(), false);
    std::this_thread::sleep_for(HousekeepingPeriod);
  }
}

void EntryProcess::watchConfiguration() {
  const auto Offer = [this](const StoreEntry &Entry) {
    wire::ConfigurationBundle Bundle;
    if (Entry.Revision != 0 && Bundle.ParseFromString(Entry.Value))
      ActiveConfig.installIfNewer(Bundle);
  };
  while (!Stopping) {
    const auto Snapshot = WatchStoreClient->list("config/");
    if (Snapshot) {
      for (const StoreEntry &Entry : Snapshot->Entries)
        Offer(Entry);
      ConfigurationRead = true;
      (void)WatchStoreClient->watch("config/", Snapshot->Revision, Offer,
                                    Stopping);
    }
    if (!Stopping)
      std::this_thread::sleep_for(WatchRetryDelay);
  }
}

wire::Heartbeat EntryProcess::buildHeartbeat() const {
  wire::Heartbeat Message;
  Message.set_node(Options.Node);
  Message.set_incarnation(Incarnation);
  Message.set_kind(wire::ENTRY);
  Message.set_rpc_address(advertisedAddress());
  Message.set_http_address(Http->address());
  Message.mutable_location()->set_place(Options.Place);
  Message.mutable_location()->set_data_centre(Options.DataCentre);
  Message.set_configuration_version(ActiveConfig.version().value());
  Message.set_draining(Draining);
  Message.set_leaving(Leaving);
  const Instant Now = monotonicNow();
  for (const auto &Each : Membership.alive(
           wire::WORKER, Milliseconds(Options.WorkerSilenceMs), Now)) {
    wire::HeardWorker &Worker = *Message.add_heard_workers();
    Worker.set_node(Each.LastHeartbeat.node());
    Worker.set_incarnation(Each.LastHeartbeat.incarnation());
    Worker.set_age_ms(
        static_cast<std::uint64_t>((Now - Each.LastHeartbeatAt).count()));
  }
  return Message;
}

Milliseconds EntryProcess::coordinatorContactAge(Instant Now) const {
  if (!Registered)
    return NeverSeenAge;
  if (Role->heldEpoch() != Epoch())
    return Now - Role->confirmedAt();
  return Now - CoordinatorContactAt.load();
}

void EntryProcess::onHeartbeatReply(const wire::HeartbeatReply &Reply,
                                    Instant SentAt) {
  HighestEpoch = std::max(HighestEpoch.load(), Reply.coordinator_epoch());
  if (!Reply.is_coordinator())
    return;
  const Instant Seen = SentAt - Milliseconds(Reply.coordinator_age_ms());
  CoordinatorContactAt = std::max(CoordinatorContactAt.load(), Seen);
}

wire::HeartbeatReply EntryProcess::heartbeat(const wire::Heartbeat &Message) {
  const Instant Now = monotonicNow();
  // Also in the member table, from which a new coordinator takes its workers.
  const wire::Heartbeat Effective = Evacuated.withEvacuations(Message);
  if (Message.leaving())
    Membership.remove(NodeId(Message.node()));
  else
    Membership.update(Effective, Now);
  CellCoordinator->heartbeatReceived(Effective);
  wire::HeartbeatReply Reply;
  Reply.set_configuration_version(ActiveConfig.version().value());
  if (Message.configuration_version() < ActiveConfig.version().value())
    *Reply.mutable_configuration() = ActiveConfig.bundle();
  Reply.set_is_coordinator(Role->heldEpoch() != Epoch());
  Reply.set_coordinator_age_ms(
      static_cast<std::uint64_t>(coordinatorContactAge(Now).count()));
  Reply.set_coordinator_epoch(
      std::max({HighestEpoch.load(), Role->heldEpoch().value(),
                Role->highestSeenEpoch().value()}));
  for (const auto &Each : Membership.alive(
           wire::ENTRY, Milliseconds(Options.MinionSilenceMs), Now)) {
    if (Each.LastHeartbeat.node() == Message.node())
      continue;
    wire::PeerAddress &Entry = *Reply.add_entries();
    Entry.set_node(Each.LastHeartbeat.node());
    Entry.set_rpc_address(Each.LastHeartbeat.rpc_address());
  }
  return Reply;
}

const std::vector<EntryProcess::Route> &EntryProcess::routes() {
  using E = EntryProcess;
  static const std::vector<Route> Table = {
      {"GET", "/healthz", &E::health},
      {"GET", "/v1/state", &E::state},
      {"GET", "/v1/members", &E::members},
      {"POST", "/v1/members/*/drain", &E::drainMember},
      {"DELETE", "/v1/members/*/drain", &E::undrainMember},
      {"POST", "/v1/services/*/requests", &E::sendRequest},
      {"POST", "/v1/services/*/tickets", &E::issueTicket},
      {"POST", "/v1/jobs", &E::submitJob},
      {"GET", "/v1/jobs", &E::listJobs},
      {"GET", "/v1/jobs/*", &E::showJob},
      {"DELETE", "/v1/jobs/*", &E::cancelJob},
      {"GET", "/v1/configuration", &E::showConfiguration},
      {"POST", "/v1/configuration", &E::applyConfiguration},
      {"GET", "/v1/workspaces", &E::listWorkspaces},
      {"GET", "/v1/data-centres", &E::listDataCentres},
      {"PUT", "/v1/data-centres/*/evacuation", &E::evacuate},
      {"DELETE", "/v1/data-centres/*/evacuation", &E::restore},
      {"GET", "/v1/data-centres/*/evacuation", &E::showEvacuation},
  };
  return Table;
}

HttpResponse EntryProcess::handleHttp(const HttpRequest &Request) {
  bool PathKnown = false;
  for (const Route &Each : routes()) {
    std::string Segment;
    if (!matches(Request.Path, Each.Pattern, Segment))
      continue;
    PathKnown = true;
    if (Request.Method == Each.Method)
      return (this->*Each.Handle)(Request, Segment);
  }
  if (PathKnown)
    return errorResponse(ResultCode::MethodNotAllowed,
                         Request.Method + " is not allowed for this path.");
  return errorResponse(ResultCode::UnknownPath,
                       "No resource exists at this path.");
}

HttpResponse EntryProcess::health(const HttpRequest &, const std::string &) {
  auto Body = makeDump();
  const bool Starting = ActiveConfig.version() == ConfigurationVersion();
  Body->set("status", Draining ? "draining" : Starting ? "starting" : "ready");
  HttpResponse Response = jsonResponse(Body);
  if (Draining || Starting)
    Response.Status = resultInfo(ResultCode::Draining).HttpStatus;
  return Response;
}

HttpResponse EntryProcess::state(const HttpRequest &Request,
                                 const std::string &) {
  const auto Sender = authenticateOperator(Request, *ActiveConfig.current());
  if (!Sender)
    return errorResponse(Sender.error());
  HttpResponse Response;
  Response.Body = dump();
  return Response;
}

std::string EntryProcess::dump() const {
  auto Out = makeDump();
  Out->set("program", "baobabcove-entry");
  Out->set("node", Options.Node);
  Out->set("incarnation", Incarnation);
  Out->set("configuration_version", ActiveConfig.version().value());
  Out->set("draining", Draining.load());
  Out->set("registered", Registered.load());
  Out->set("role_epoch", Role->heldEpoch().value());
  Out->set("highest_epoch", HighestEpoch.load());
  Out->set("jobs_known", JobRecords.all().size());
  Out->set("following_store", JobRecords.watching());
  Out->set("requests_waiting", RequestRouter.pool().waiting());
  Out->set("members", Membership.all().size());
  Poco::JSON::Array::Ptr EvacuatedNames = new Poco::JSON::Array;
  for (const auto &[Name, Revision] : Evacuated.active())
    EvacuatedNames->add(Name.str());
  Out->set("evacuated_data_centres", EvacuatedNames);
  Out->set("coordinator", CellCoordinator->dump());
  Out->set("figures", Stats.dump());
  Out->set("process", processStats());
  return dumpText(Out);
}

HttpResponse EntryProcess::members(const HttpRequest &Request,
                                   const std::string &) {
  const auto Sender = authenticateOperator(Request, *ActiveConfig.current());
  if (!Sender)
    return errorResponse(Sender.error());
  Poco::JSON::Array::Ptr Rows = new Poco::JSON::Array;
  const Instant Now = monotonicNow();
  for (const auto &Each : Membership.all()) {
    auto Row = makeDump();
    Row->set("node", Each.LastHeartbeat.node());
    Row->set("kind", wire::NodeKind_Name(Each.LastHeartbeat.kind()));
    Row->set("place", Each.LastHeartbeat.location().place());
    Row->set("data_centre", Each.LastHeartbeat.location().data_centre());
    Row->set("rack", Each.LastHeartbeat.location().rack());
    Row->set("configuration_version",
             Each.LastHeartbeat.configuration_version());
    Row->set("draining", Each.LastHeartbeat.draining());
    Row->set("silent_ms", (Now - Each.LastHeartbeatAt).count());
    Row->set("http_address", Each.LastHeartbeat.http_address());
    Row->set("rpc_address", Each.LastHeartbeat.rpc_address());
    if (Each.LastHeartbeat.kind() == wire::MINION) {
      Row->set("service", Each.LastHeartbeat.minion().service());
      Row->set("slots", Each.LastHeartbeat.minion().slots());
      Row->set("in_flight", Each.LastHeartbeat.minion().in_flight());
    }
    if (Each.LastHeartbeat.kind() == wire::WORKER) {
      Row->set("accelerators", Each.LastHeartbeat.worker().accelerators());
      Row->set("parts", Each.LastHeartbeat.worker().parts_size());
    }
    Rows->add(Row);
  }
  auto Body = makeDump();
  Body->set("members", Rows);
  return jsonResponse(Body);
}

HttpResponse EntryProcess::setMemberDraining(const HttpRequest &Request,
                                             const std::string &Node,
                                             bool Wanted) {
  const auto Sender = authenticateOperator(Request, *ActiveConfig.current());
  if (!Sender)
    return errorResponse(Sender.error());
  MemberRecord Found;
  if (!Membership.find(NodeId(Node), Found) ||
      Found.LastHeartbeat.kind() == wire::ENTRY)
    return errorResponse(ResultCode::UnknownPath,
                         "There is no minion or worker " + Node + ".");
  wire::DrainRequest Order;
  Order.set_draining(Wanted);
  const auto Done =
      Peers.drain(Found.LastHeartbeat.rpc_address(), Order, DrainCallTimeout);
  if (!Done)
    return errorResponse(Done.error());
  auto Body = makeDump();
  Body->set("node", Node);
  Body->set("draining", Wanted);
  return jsonResponse(Body);
}

HttpResponse EntryProcess::drainMember(const HttpRequest &Request,
                                       const std::string &Node) {
  return setMemberDraining(Request, Node, true);
}

HttpResponse EntryProcess::undrainMember(const HttpRequest &Request,
                                         const std::string &Node) {
  return setMemberDraining(Request, Node, false);
}

HttpResponse EntryProcess::sendRequest(const HttpRequest &Request,
                                       const std::string &Service) {
  return Requests.send(Request, Service);
}

HttpResponse EntryProcess::issueTicket(const HttpRequest &Request,
                                       const std::string &Service) {
  return Requests.ticket(Request, Service);
}

HttpResponse EntryProcess::submitJob(const HttpRequest &Request,
                                     const std::string &) {
  return Jobs.submit(Request);
}

HttpResponse EntryProcess::listJobs(const HttpRequest &Request,
                                    const std::string &) {
  return Jobs.list(Request);
}

HttpResponse EntryProcess::showJob(const HttpRequest &Request,
                                   const std::string &Id) {
  return Jobs.show(Request, Id);
}

HttpResponse EntryProcess::cancelJob(const HttpRequest &Request,
                                     const std::string &Id) {
  return Jobs.cancel(Request, Id);
}

HttpResponse EntryProcess::showConfiguration(const HttpRequest &Request,
                                             const std::string &) {
  return Configurations.show(Request);
}

HttpResponse EntryProcess::applyConfiguration(const HttpRequest &Request,
                                              const std::string &) {
  return Configurations.apply(Request);
}

HttpResponse EntryProcess::evacuate(const HttpRequest &Request,
                                    const std::string &Name) {
  return Evacuations.evacuate(Request, Name);
}

HttpResponse EntryProcess::restore(const HttpRequest &Request,
                                   const std::string &Name) {
  return Evacuations.restore(Request, Name);
}

HttpResponse EntryProcess::showEvacuation(const HttpRequest &Request,
                                          const std::string &Name) {
  return Evacuations.show(Request, Name);
}

HttpResponse EntryProcess::listDataCentres(const HttpRequest &Request,
                                           const std::string &) {
  return Evacuations.list(Request);
}

HttpResponse EntryProcess::listWorkspaces(const HttpRequest &Request,
                                          const std::string &) {
  return Configurations.workspaces(Request);
}

} // namespace baobabcove
