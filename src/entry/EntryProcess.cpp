#include "entry/EntryProcess.h"

#include "base/Log.h"
#include "base/ProcessStats.h"
#include "base/StateDump.h"

#include <Poco/JSON/Array.h>

namespace baobabcove {

namespace {

constexpr Milliseconds HousekeepingPeriod{100};
constexpr Milliseconds WatchPause{300};
constexpr Milliseconds ConfigurationPatience{2000};
constexpr Milliseconds ConfigurationLook{5};
constexpr Milliseconds DrainCallPatience{1000};
/// Members silent for this long are forgotten.
constexpr Milliseconds MemberMemory{600000};
/// An age that says "never".
constexpr Milliseconds NeverSeen{365LL * 24 * 3600 * 1000};

HttpLimits limitsOf(const Settings &Of) {
  HttpLimits Limits;
  Limits.Threads = Of.HttpThreads;
  Limits.Connections = Of.MaxConnections;
  Limits.Arrival = Milliseconds(Of.HeaderTimeoutMs);
  return Limits;
}

HttpResponse jsonAnswer(const Poco::JSON::Object::Ptr &Body) {
  HttpResponse Response;
  Response.Body = dumpText(Body);
  return Response;
}

/// Matches a path against a pattern with at most one "*" part.
bool matches(const std::string &Path, const std::string &Pattern,
             std::string &Part) {
  const std::size_t Star = Pattern.find('*');
  if (Star == std::string::npos)
    return Path == Pattern;
  const std::string Tail = Pattern.substr(Star + 1);
  if (Path.size() <= Star + Tail.size() ||
      Path.compare(0, Star, Pattern, 0, Star) != 0 ||
      Path.compare(Path.size() - Tail.size(), Tail.size(), Tail) != 0)
    return false;
  Part = Path.substr(Star, Path.size() - Star - Tail.size());
  return Part.find('/') == std::string::npos;
}

} // namespace

EntryProcess::EntryProcess(const Settings &Of, StateCharts Charts)
    : Of(Of), Charts(std::move(Charts)),
      Incarnation(static_cast<std::uint64_t>(wallClockMs())),
      Platform(makeHttpStore(Of.StoreAddress)),
      WatchPlatform(makeHttpStore(Of.StoreAddress)),
      Claims(*Platform, std::chrono::seconds(Of.ClaimTtlS)),
      Routes(this->Of, Known, Peers, Claims, Figures),
      Book(*Platform, Of.Cell), Context{this->Of,  Incarnation, Figures,
                                        *Platform, Peers,       Known,
                                        Keeper,    Book,        Routes},
      Requests(Context), Jobs(Context), Configurations(Context) {}

EntryProcess::~EntryProcess() {
  Stopping = true;
  if (Housekeeping.joinable())
    Housekeeping.join();
  if (ConfigurationWatch.joinable())
    ConfigurationWatch.join();
}

Expected<void> EntryProcess::start() {
  Coordinating = std::make_unique<Coordinator>(Of, Charts.Job, *Platform, Peers,
                                               Book, Known, Keeper, Figures);
  Announcing = std::make_unique<Announcer>(
      Peers, Keeper, Milliseconds(Of.HeartbeatMs), [this] { return ownBeat(); },
      [this](const wire::HeartbeatReply &Reply, Instant SentAt) {
        onReply(Reply, SentAt);
      });
  Keeper.listen([this](const Configuration &) {
    Coordinating->configurationChanged();
    Announcing->nudge();
  });
  Role = std::make_unique<RoleKeeper>(
      Of, Incarnation, *Platform,
      [this](Epoch Held) { Coordinating->roleChanged(Held); });
  auto Calls = serveRpc(Of.RpcAddress, this, nullptr);
  if (!Calls)
    return tl::unexpected<Error>(Calls.error());
  Rpc = std::move(*Calls);
  ConfigurationWatch = std::thread([this] { watchConfiguration(); });
  // Callers are served once their tokens are known, or the store is down.
  const Instant GiveUp = monotonicNow() + ConfigurationPatience;
  while (!ConfigurationRead && monotonicNow() < GiveUp)
    std::this_thread::sleep_for(ConfigurationLook);
  auto Served =
      serveHttp(Of.HttpAddress, limitsOf(Of),
                [this](const HttpRequest &Request) { return onHttp(Request); });
  if (!Served)
    return tl::unexpected<Error>(Served.error());
  Http = std::move(*Served);
  Book.start([this](const StoredJob &Job) { Coordinating->jobChanged(Job); });
  Housekeeping = std::thread([this] { housekeepingLoop(); });
  Role->start(Rpc->address());
  for (const std::string &Address : Of.EntryAddresses)
    if (Address != Rpc->address())
      Announcing->add(Address, true);
  LOG4CPLUS_INFO(logOf("entry"), "Serving at " << Http->address() << ".");
  return {};
}

void EntryProcess::stop(Milliseconds Patience) {
  LOG4CPLUS_INFO(logOf("entry"), "Graceful shutdown begins.");
  Draining = true;
  Announcing->nudge();
  // The balancer sees the unready answer and sends no new connections.
  std::this_thread::sleep_for(Milliseconds(Of.LameDuckMs));
  if (!Http->drain(Patience))
    LOG4CPLUS_WARN(logOf("entry"), "Stopping although requests still run.");
  Role->resign();
  Rpc->shutdown(DrainCallPatience);
  Leaving = true;
  Announcing->stop();
  const auto Mine = Platform->read(registryKey());
  if (Mine && Mine->Revision != 0)
    (void)Platform->remove(registryKey(), Mine->Revision);
  LOG4CPLUS_INFO(logOf("entry"), "Graceful shutdown is done.");
}

std::string EntryProcess::peerAddress() const {
  return Of.AdvertisedRpcAddress.empty() ? Rpc->address()
                                         : Of.AdvertisedRpcAddress;
}

std::string EntryProcess::registryKey() const {
  return "entries/" + Of.Cell + "/" + Of.Node;
}

/// Before its record is kept, no later coordinator would know that this entry
/// may vouch for workers.
bool EntryProcess::registerEntry() {
  const auto Present = Platform->read(registryKey());
  if (!Present)
    return false;
  wire::EntryRecord Mine;
  Mine.set_node(Of.Node);
  Mine.set_incarnation(Incarnation);
  Mine.set_rpc_address(peerAddress());
  return Present->Value == Mine.SerializeAsString() ||
         Platform
             ->swap(registryKey(), Present->Revision, Mine.SerializeAsString(),
                    0)
             .has_value();
}

void EntryProcess::housekeepingLoop() {
  while (!Stopping) {
    if (!Registered)
      Registered = registerEntry();
    Routes.pool().membersChanged();
    Known.forgetSilent(MemberMemory, monotonicNow());
    for (const auto &Entry : Known.alive(
             wire::ENTRY, Milliseconds(Of.MinionSilenceMs), monotonicNow()))
      Announcing->add(Entry.Beat.rpc_address(), false);
    std::this_thread::sleep_for(HousekeepingPeriod);
  }
}

void EntryProcess::watchConfiguration() {
  const auto Offer = [this](const StoreEntry &Entry) {
    wire::ConfigurationBundle Bundle;
    if (Entry.Revision != 0 && Bundle.ParseFromString(Entry.Value))
      Keeper.offer(Bundle);
  };
  while (!Stopping) {
    const auto Snapshot = WatchPlatform->list("config/");
    if (Snapshot) {
      for (const StoreEntry &Entry : Snapshot->Entries)
        Offer(Entry);
      ConfigurationRead = true;
      (void)WatchPlatform->watch("config/", Snapshot->Revision, Offer,
                                 Stopping);
    }
    if (!Stopping)
      std::this_thread::sleep_for(WatchPause);
  }
}

wire::Heartbeat EntryProcess::ownBeat() const {
  wire::Heartbeat Beat;
  Beat.set_node(Of.Node);
  Beat.set_incarnation(Incarnation);
  Beat.set_kind(wire::ENTRY);
  Beat.set_rpc_address(peerAddress());
  Beat.set_http_address(Http->address());
  Beat.mutable_location()->set_place(Of.Place);
  Beat.mutable_location()->set_data_centre(Of.DataCentre);
  Beat.set_configuration_version(Keeper.version().value());
  Beat.set_draining(Draining);
  Beat.set_leaving(Leaving);
  const Instant Now = monotonicNow();
  for (const auto &Each :
       Known.alive(wire::WORKER, Milliseconds(Of.WorkerSilenceMs), Now)) {
    wire::HeardWorker &Heard = *Beat.add_heard_workers();
    Heard.set_node(Each.Beat.node());
    Heard.set_incarnation(Each.Beat.incarnation());
    Heard.set_age_ms(static_cast<std::uint64_t>((Now - Each.HeardAt).count()));
  }
  return Beat;
}

Milliseconds EntryProcess::coordinatorAge(Instant Now) const {
  if (!Registered)
    return NeverSeen;
  if (Role->held() != Epoch())
    return Now - Role->confirmedAt();
  return Now - CoordinatorSeenAt.load();
}

void EntryProcess::onReply(const wire::HeartbeatReply &Reply, Instant SentAt) {
  HighestEpoch = std::max(HighestEpoch.load(), Reply.coordinator_epoch());
  if (!Reply.is_coordinator())
    return;
  const Instant Seen = SentAt - Milliseconds(Reply.coordinator_age_ms());
  CoordinatorSeenAt = std::max(CoordinatorSeenAt.load(), Seen);
}

wire::HeartbeatReply EntryProcess::beat(const wire::Heartbeat &Beat) {
  const Instant Now = monotonicNow();
  if (Beat.leaving())
    Known.remove(NodeId(Beat.node()));
  else
    Known.hear(Beat, Now);
  Coordinating->memberHeard(Beat);
  wire::HeartbeatReply Reply;
  Reply.set_configuration_version(Keeper.version().value());
  if (Beat.configuration_version() < Keeper.version().value())
    *Reply.mutable_configuration() = Keeper.bundle();
  Reply.set_is_coordinator(Role->held() != Epoch());
  Reply.set_coordinator_age_ms(
      static_cast<std::uint64_t>(coordinatorAge(Now).count()));
  Reply.set_coordinator_epoch(std::max(
      {HighestEpoch.load(), Role->held().value(), Role->highest().value()}));
  for (const auto &Each :
       Known.alive(wire::ENTRY, Milliseconds(Of.MinionSilenceMs), Now)) {
    if (Each.Beat.node() == Beat.node())
      continue;
    wire::PeerAddress &Entry = *Reply.add_entries();
    Entry.set_node(Each.Beat.node());
    Entry.set_rpc_address(Each.Beat.rpc_address());
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
      {"POST", "/v1/services/*/tickets", &E::takeTicket},
      {"POST", "/v1/jobs", &E::submitJob},
      {"GET", "/v1/jobs", &E::listJobs},
      {"GET", "/v1/jobs/*", &E::showJob},
      {"DELETE", "/v1/jobs/*", &E::cancelJob},
      {"GET", "/v1/configuration", &E::showConfiguration},
      {"POST", "/v1/configuration", &E::applyConfiguration},
      {"GET", "/v1/workspaces", &E::listWorkspaces},
  };
  return Table;
}

HttpResponse EntryProcess::onHttp(const HttpRequest &Request) {
  bool PathKnown = false;
  for (const Route &Each : routes()) {
    std::string Part;
    if (!matches(Request.Path, Each.Pattern, Part))
      continue;
    PathKnown = true;
    if (Request.Method == Each.Method)
      return (this->*Each.Handle)(Request, Part);
  }
  if (PathKnown)
    return refusal(ResultCode::MethodNotAllowed,
                   Request.Method + " is not known for this path.");
  return refusal(ResultCode::UnknownPath, "There is nothing at this path.");
}

HttpResponse EntryProcess::health(const HttpRequest &, const std::string &) {
  auto Body = makeDump();
  const bool Starting = Keeper.version() == ConfigurationVersion();
  Body->set("status", Draining ? "draining" : Starting ? "starting" : "ready");
  HttpResponse Response = jsonAnswer(Body);
  if (Draining || Starting)
    Response.Status = resultInfo(ResultCode::Draining).HttpStatus;
  return Response;
}

HttpResponse EntryProcess::state(const HttpRequest &Request,
                                 const std::string &) {
  const auto Sender = identifyOperator(Request, *Keeper.current());
  if (!Sender)
    return refusal(Sender.error());
  HttpResponse Response;
  Response.Body = dump();
  return Response;
}

std::string EntryProcess::dump() const {
  auto Out = makeDump();
  Out->set("program", "baobabcove-entry");
  Out->set("node", Of.Node);
  Out->set("incarnation", Incarnation);
  Out->set("configuration_version", Keeper.version().value());
  Out->set("draining", Draining.load());
  Out->set("registered", Registered.load());
  Out->set("role_epoch", Role->held().value());
  Out->set("highest_epoch", HighestEpoch.load());
  Out->set("jobs_known", Book.all().size());
  Out->set("following_store", Book.following());
  Out->set("requests_waiting", Routes.pool().waiting());
  Out->set("members", Known.all().size());
  Out->set("coordinator", Coordinating->dump());
  Out->set("figures", Figures.dump());
  Out->set("process", processStats());
  return dumpText(Out);
}

HttpResponse EntryProcess::members(const HttpRequest &Request,
                                   const std::string &) {
  const auto Sender = identifyOperator(Request, *Keeper.current());
  if (!Sender)
    return refusal(Sender.error());
  Poco::JSON::Array::Ptr Rows = new Poco::JSON::Array;
  const Instant Now = monotonicNow();
  for (const auto &Each : Known.all()) {
    auto Row = makeDump();
    Row->set("node", Each.Beat.node());
    Row->set("kind", wire::NodeKind_Name(Each.Beat.kind()));
    Row->set("place", Each.Beat.location().place());
    Row->set("data_centre", Each.Beat.location().data_centre());
    Row->set("rack", Each.Beat.location().rack());
    Row->set("configuration_version", Each.Beat.configuration_version());
    Row->set("draining", Each.Beat.draining());
    Row->set("silent_ms", (Now - Each.HeardAt).count());
    Row->set("http_address", Each.Beat.http_address());
    Row->set("rpc_address", Each.Beat.rpc_address());
    if (Each.Beat.kind() == wire::MINION) {
      Row->set("service", Each.Beat.minion().service());
      Row->set("slots", Each.Beat.minion().slots());
      Row->set("in_flight", Each.Beat.minion().in_flight());
    }
    if (Each.Beat.kind() == wire::WORKER) {
      Row->set("accelerators", Each.Beat.worker().accelerators());
      Row->set("parts", Each.Beat.worker().parts_size());
    }
    Rows->add(Row);
  }
  auto Body = makeDump();
  Body->set("members", Rows);
  return jsonAnswer(Body);
}

HttpResponse EntryProcess::setMemberDraining(const HttpRequest &Request,
                                             const std::string &Node,
                                             bool Wanted) {
  const auto Sender = identifyOperator(Request, *Keeper.current());
  if (!Sender)
    return refusal(Sender.error());
  MemberRecord Found;
  if (!Known.find(NodeId(Node), Found) || Found.Beat.kind() == wire::ENTRY)
    return refusal(ResultCode::UnknownPath,
                   "There is no minion or worker " + Node + ".");
  wire::DrainRequest Order;
  Order.set_draining(Wanted);
  const auto Done =
      Peers.drain(Found.Beat.rpc_address(), Order, DrainCallPatience);
  if (!Done)
    return refusal(Done.error());
  auto Body = makeDump();
  Body->set("node", Node);
  Body->set("draining", Wanted);
  return jsonAnswer(Body);
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

HttpResponse EntryProcess::takeTicket(const HttpRequest &Request,
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

HttpResponse EntryProcess::listWorkspaces(const HttpRequest &Request,
                                          const std::string &) {
  return Configurations.workspaces(Request);
}

} // namespace baobabcove
