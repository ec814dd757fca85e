#include "agent/AgentProcess.h"

#include "base/Log.h"
#include "base/ProcessStats.h"
#include "base/StateDump.h"

namespace baobabcove {

namespace {

constexpr std::size_t AdminThreads = 4;
constexpr std::size_t AdminConnections = 64;
constexpr Milliseconds DiscoveryPeriod{200};
/// The store is queried for entry addresses after this long without a
/// heartbeat reply from any entry.
constexpr Milliseconds DiscoveryDelay{2000};
/// Maximum wait until the entries have received the draining state.
constexpr Milliseconds DrainNoticeTimeout{3000};
/// Time allowed for requests that were already sent to arrive.
constexpr Milliseconds InTransitGrace{200};

HttpLimits adminLimits() {
  HttpLimits Limits;
  Limits.Threads = AdminThreads;
  Limits.Connections = AdminConnections;
  Limits.ConnectionsPerPeer = AdminConnections;
  return Limits;
}

HttpResources adminResources(const Settings &Options, Metrics &Stats) {
  HttpResources Resources;
  Resources.Name = "admin";
  Resources.Budget = makeMemoryBudget(Options.ProcessMemoryMb);
  Resources.Share = MemoryShare::System;
  Resources.Stats = &Stats;
  return Resources;
}

wire::CommandReply noWorkerReply() {
  wire::CommandReply Reply;
  Reply.set_code(static_cast<std::uint32_t>(ResultCode::UnknownGang));
  Reply.set_detail("This agent serves a minion, not a worker.");
  return Reply;
}

} // namespace

AgentProcess::AgentProcess(const Settings &Options, StateCharts Charts)
    : Options(Options), Charts(std::move(Charts)),
      Incarnation(static_cast<std::uint64_t>(wallClockMs())) {}

AgentProcess::~AgentProcess() {
  Stopping = true;
  if (DiscoveryThread.joinable())
    DiscoveryThread.join();
}

/// Reads the current entry addresses from the store when no entry answers:
/// all known entries may have been replaced at the same time.
void AgentProcess::entryDiscoveryLoop() {
  Instant AnsweredAt = monotonicNow();
  while (!Stopping) {
    std::this_thread::sleep_for(DiscoveryPeriod);
    const Instant Now = monotonicNow();
    if (!Heartbeats->respondingEntries().empty())
      AnsweredAt = Now;
    if (Now - AnsweredAt < DiscoveryDelay)
      continue;
    AnsweredAt = Now;
    const auto Listed = StoreClient->list("entries/" + Options.Cell + "/");
    if (!Listed)
      continue;
    for (const StoreEntry &Each : Listed->Entries) {
      wire::EntryRecord Entry;
      if (Entry.ParseFromString(Each.Value))
        Heartbeats->add(Entry.rpc_address(), false);
    }
  }
}

Expected<void> AgentProcess::start() {
  Heartbeats = std::make_unique<HeartbeatSender>(
      Peers, ActiveConfig, Milliseconds(Options.HeartbeatMs),
      [this] { return buildHeartbeat(); },
      [this](const wire::HeartbeatReply &Reply, Instant SentAt) {
        onHeartbeatReply(Reply, SentAt);
      });
  if (Options.TargetKind == "minion")
    Minion =
        std::make_unique<MinionController>(Options, Charts, Incarnation, Stats);
  else
    Worker = std::make_unique<WorkerController>(
        Options, Charts, makeHttpWorkerClient(Options.TargetAddress), Peers,
        Stats, [this] { Heartbeats->sendNow(); });
  auto Served = serveRpc(Options.RpcAddress, nullptr, this);
  if (!Served)
    return tl::unexpected<Error>(Served.error());
  Rpc = std::move(*Served);
  auto AdminServer = serveHttp(
      Options.HttpAddress, adminLimits(),
      [this](const HttpRequest &Request) { return onHttp(Request); },
      adminResources(Options, Stats));
  if (!AdminServer)
    return tl::unexpected<Error>(AdminServer.error());
  Http = std::move(*AdminServer);
  for (const std::string &Address : Options.EntryAddresses)
    Heartbeats->add(Address, true);
  if (!Options.StoreAddress.empty()) {
    StoreClient = makeHttpStore(Options.StoreAddress);
    DiscoveryThread = std::thread([this] { entryDiscoveryLoop(); });
  }
  LOG4CPLUS_INFO(logOf("agent"), "Ready at " << Rpc->address() << ".");
  return {};
}

void AgentProcess::stop(Milliseconds Timeout) {
  LOG4CPLUS_INFO(logOf("agent"), "Graceful shutdown started.");
  setDraining(true);
  // An entry that does not know that this agent is draining keeps sending
  // requests here, and they would be lost.
  Heartbeats->sendAndWait(DrainNoticeTimeout);
  std::this_thread::sleep_for(InTransitGrace);
  const bool Idle =
      Minion ? Minion->waitIdle(Timeout) : Worker->waitIdle(Timeout);
  if (!Idle)
    LOG4CPLUS_WARN(logOf("agent"), "Stopping while work is still running.");
  Rpc->shutdown(Milliseconds(1000));
  Heartbeats->stop();
  Http->drain(Milliseconds(0));
  LOG4CPLUS_INFO(logOf("agent"), "Graceful shutdown completed.");
}

void AgentProcess::setDraining(bool Draining) {
  if (Minion)
    Minion->setDraining(Draining);
  if (Worker)
    Worker->setDraining(Draining);
  Heartbeats->sendNow();
}

wire::Heartbeat AgentProcess::buildHeartbeat() const {
  wire::Heartbeat Message;
  Message.set_node(Options.Node);
  Message.set_incarnation(Incarnation);
  Message.set_kind(Minion ? wire::MINION : wire::WORKER);
  Message.set_rpc_address(Options.AdvertisedRpcAddress.empty()
                              ? Rpc->address()
                              : Options.AdvertisedRpcAddress);
  Message.set_http_address(Http->address());
  Message.mutable_location()->set_place(Options.Place);
  Message.mutable_location()->set_data_centre(Options.DataCentre);
  Message.mutable_location()->set_rack(Options.Rack);
  Message.set_configuration_version(ActiveConfig.version().value());
  if (Minion) {
    Message.set_draining(Minion->draining());
    *Message.mutable_minion() = Minion->status();
  } else {
    Message.set_draining(Worker->draining());
    *Message.mutable_worker() = Worker->status();
  }
  return Message;
}

void AgentProcess::onHeartbeatReply(const wire::HeartbeatReply &Reply,
                                    Instant SentAt) {
  if (!Worker)
    return;
  Worker->observeEpoch(Epoch(Reply.coordinator_epoch()));
  Worker->onEntryReply(SentAt, Milliseconds(Reply.coordinator_age_ms()));
}

HttpResponse AgentProcess::onHttp(const HttpRequest &Request) {
  if (Request.Path == "/healthz") {
    HttpResponse Response;
    Response.Body = "{\"status\":\"ok\"}";
    return Response;
  }
  if (Request.Path != "/v1/state")
    return errorResponse(ResultCode::UnknownPath,
                         "No resource exists at this path.");
  const auto Sender = authenticateOperator(Request, *ActiveConfig.current());
  if (!Sender)
    return errorResponse(Sender.error());
  HttpResponse Response;
  Response.Body = dump();
  return Response;
}

std::string AgentProcess::dump() const {
  auto Out = makeDump();
  Out->set("program", "baobabcove-agent");
  Out->set("node", Options.Node);
  Out->set("incarnation", Incarnation);
  Out->set("configuration_version", ActiveConfig.version().value());
  Poco::JSON::Array::Ptr Entries = new Poco::JSON::Array;
  for (const std::string &Address : Heartbeats->respondingEntries())
    Entries->add(Address);
  Out->set("entries", Entries);
  if (Minion) {
    const wire::MinionStatus Status = Minion->status();
    Out->set("minion", Minion->lifecycleState());
    Out->set("service", Status.service());
    Out->set("slots", Status.slots());
    Out->set("in_flight", Status.in_flight());
    Out->set("outcomes", Minion->outcomes());
    Out->set("draining", Minion->draining());
  } else {
    Out->set("worker", Worker->lifecycleState());
    Poco::JSON::Array::Ptr Parts = new Poco::JSON::Array;
    const wire::WorkerStatus Status = Worker->status();
    for (const auto &Part : Status.parts()) {
      auto Row = makeDump();
      Row->set("job", Part.job());
      Row->set("attempt", Part.attempt());
      Row->set("phase", wire::GangPhase_Name(Part.phase()));
      Row->set("accelerators", Part.accelerators());
      Row->set("progress_ms", Part.progress_ms());
      Row->set("memory_mb_per_task", Part.memory_mb_per_task());
      Parts->add(Row);
    }
    Out->set("parts", Parts);
    Out->set("stops_waiting", Worker->stopsWaiting());
    Out->set("part_events_refused", Worker->refusedEvents());
    Out->set("draining", Worker->draining());
  }
  Out->set("figures", Stats.dump());
  Out->set("process", processStats());
  return dumpText(Out);
}

wire::ExecuteReply AgentProcess::execute(const wire::ExecuteRequest &Request) {
  if (!Minion)
    return executeRefusal(ResultCode::NoMinion,
                          "This agent serves a worker, not a minion.");
  return Minion->execute(Request);
}

wire::CommandReply AgentProcess::reserve(const wire::ReserveRequest &Request) {
  return Worker ? Worker->reserve(Request) : noWorkerReply();
}

wire::CommandReply AgentProcess::start(const wire::StartRequest &Request) {
  return Worker ? Worker->start(Request) : noWorkerReply();
}

wire::CommandReply AgentProcess::renew(const wire::RenewRequest &Request) {
  return Worker ? Worker->renew(Request) : noWorkerReply();
}

wire::CommandReply AgentProcess::stop(const wire::StopRequest &Request) {
  return Worker ? Worker->stop(Request) : noWorkerReply();
}

wire::InventoryReply
AgentProcess::inventory(const wire::InventoryRequest &Request) {
  return Worker ? Worker->inventory(Request) : wire::InventoryReply();
}

wire::CommandReply AgentProcess::drain(const wire::DrainRequest &Request) {
  setDraining(Request.draining());
  return {};
}

} // namespace baobabcove
