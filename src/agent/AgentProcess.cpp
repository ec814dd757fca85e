#include "agent/AgentProcess.h"

#include "base/Log.h"
#include "base/ProcessStats.h"
#include "base/StateDump.h"

namespace baobabcove {

namespace {

constexpr std::size_t AdminThreads = 4;
constexpr std::size_t AdminConnections = 64;
constexpr Milliseconds FindPeriod{200};
/// Time without an answer of any entry after which the store is asked.
constexpr Milliseconds FindAfter{2000};
/// Longest wait for the entries to hear that this agent drains.
constexpr Milliseconds TellPatience{3000};
/// Time in which a request that was sent before still arrives.
constexpr Milliseconds InTransit{200};

HttpLimits adminLimits() {
  HttpLimits Limits;
  Limits.Threads = AdminThreads;
  Limits.Connections = AdminConnections;
  return Limits;
}

wire::CommandReply notAWorker() {
  wire::CommandReply Reply;
  Reply.set_code(static_cast<std::uint32_t>(ResultCode::UnknownGang));
  Reply.set_detail("This agent stands beside a minion.");
  return Reply;
}

} // namespace

AgentProcess::AgentProcess(const Settings &Of, StateCharts Charts)
    : Of(Of), Charts(std::move(Charts)),
      Incarnation(static_cast<std::uint64_t>(wallClockMs())) {}

AgentProcess::~AgentProcess() {
  Stopping = true;
  if (FindEntries.joinable())
    FindEntries.join();
}

/// Every entry may have been replaced at once. When none answers any more, the
/// store tells where the present ones are.
void AgentProcess::findEntriesLoop() {
  Instant AnsweredAt = monotonicNow();
  while (!Stopping) {
    std::this_thread::sleep_for(FindPeriod);
    const Instant Now = monotonicNow();
    if (!Announcing->answering().empty())
      AnsweredAt = Now;
    if (Now - AnsweredAt < FindAfter)
      continue;
    AnsweredAt = Now;
    const auto Listed = Platform->list("entries/" + Of.Cell + "/");
    if (!Listed)
      continue;
    for (const StoreEntry &Each : Listed->Entries) {
      wire::EntryRecord Entry;
      if (Entry.ParseFromString(Each.Value))
        Announcing->add(Entry.rpc_address(), false);
    }
  }
}

Expected<void> AgentProcess::start() {
  Announcing = std::make_unique<Announcer>(
      Peers, Keeper, Milliseconds(Of.HeartbeatMs), [this] { return beat(); },
      [this](const wire::HeartbeatReply &Reply, Instant SentAt) {
        onReply(Reply, SentAt);
      });
  if (Of.TargetKind == "minion")
    Minion = std::make_unique<MinionGuard>(Of, Charts, Incarnation, Figures);
  else
    Worker = std::make_unique<WorkerGuard>(
        Of, Charts, makeHttpWorker(Of.TargetAddress), Peers, Figures,
        [this] { Announcing->nudge(); });
  auto Served = serveRpc(Of.RpcAddress, nullptr, this);
  if (!Served)
    return tl::unexpected<Error>(Served.error());
  Rpc = std::move(*Served);
  auto Admin =
      serveHttp(Of.HttpAddress, adminLimits(),
                [this](const HttpRequest &Request) { return onHttp(Request); });
  if (!Admin)
    return tl::unexpected<Error>(Admin.error());
  Http = std::move(*Admin);
  for (const std::string &Address : Of.EntryAddresses)
    Announcing->add(Address, true);
  if (!Of.StoreAddress.empty()) {
    Platform = makeHttpStore(Of.StoreAddress);
    FindEntries = std::thread([this] { findEntriesLoop(); });
  }
  LOG4CPLUS_INFO(logOf("agent"), "Ready at " << Rpc->address() << ".");
  return {};
}

void AgentProcess::stop(Milliseconds Patience) {
  LOG4CPLUS_INFO(logOf("agent"), "Graceful shutdown begins.");
  setDraining(true);
  // An entry that has not heard of it would lose what it still sends here.
  Announcing->tellAll(TellPatience);
  std::this_thread::sleep_for(InTransit);
  const bool Idle =
      Minion ? Minion->waitIdle(Patience) : Worker->waitIdle(Patience);
  if (!Idle)
    LOG4CPLUS_WARN(logOf("agent"), "Stopping although work still runs.");
  Rpc->shutdown(Milliseconds(1000));
  Announcing->stop();
  Http->drain(Milliseconds(0));
  LOG4CPLUS_INFO(logOf("agent"), "Graceful shutdown is done.");
}

void AgentProcess::setDraining(bool Draining) {
  if (Minion)
    Minion->setDraining(Draining);
  if (Worker)
    Worker->setDraining(Draining);
  Announcing->nudge();
}

wire::Heartbeat AgentProcess::beat() const {
  wire::Heartbeat Beat;
  Beat.set_node(Of.Node);
  Beat.set_incarnation(Incarnation);
  Beat.set_kind(Minion ? wire::MINION : wire::WORKER);
  Beat.set_rpc_address(Of.AdvertisedRpcAddress.empty()
                           ? Rpc->address()
                           : Of.AdvertisedRpcAddress);
  Beat.set_http_address(Http->address());
  Beat.mutable_location()->set_place(Of.Place);
  Beat.mutable_location()->set_data_centre(Of.DataCentre);
  Beat.mutable_location()->set_rack(Of.Rack);
  Beat.set_configuration_version(Keeper.version().value());
  if (Minion) {
    Beat.set_draining(Minion->draining());
    *Beat.mutable_minion() = Minion->status();
  } else {
    Beat.set_draining(Worker->draining());
    *Beat.mutable_worker() = Worker->status();
  }
  return Beat;
}

void AgentProcess::onReply(const wire::HeartbeatReply &Reply, Instant SentAt) {
  if (!Worker)
    return;
  Worker->raiseEpoch(Epoch(Reply.coordinator_epoch()));
  Worker->heardEntry(SentAt, Milliseconds(Reply.coordinator_age_ms()));
}

HttpResponse AgentProcess::onHttp(const HttpRequest &Request) {
  if (Request.Path == "/healthz") {
    HttpResponse Response;
    Response.Body = "{\"status\":\"ok\"}";
    return Response;
  }
  if (Request.Path != "/v1/state")
    return refusal(ResultCode::UnknownPath, "There is nothing at this path.");
  const auto Sender = identifyOperator(Request, *Keeper.current());
  if (!Sender)
    return refusal(Sender.error());
  HttpResponse Response;
  Response.Body = dump();
  return Response;
}

std::string AgentProcess::dump() const {
  auto Out = makeDump();
  Out->set("program", "baobabcove-agent");
  Out->set("node", Of.Node);
  Out->set("incarnation", Incarnation);
  Out->set("configuration_version", Keeper.version().value());
  Poco::JSON::Array::Ptr Entries = new Poco::JSON::Array;
  for (const std::string &Address : Announcing->answering())
    Entries->add(Address);
  Out->set("entries", Entries);
  if (Minion) {
    const wire::MinionStatus Status = Minion->status();
    Out->set("minion", Minion->life());
    Out->set("service", Status.service());
    Out->set("slots", Status.slots());
    Out->set("in_flight", Status.in_flight());
    Out->set("outcomes", Minion->outcomes());
    Out->set("draining", Minion->draining());
  } else {
    Out->set("worker", Worker->life());
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
  Out->set("figures", Figures.dump());
  Out->set("process", processStats());
  return dumpText(Out);
}

wire::ExecuteReply AgentProcess::execute(const wire::ExecuteRequest &Request) {
  if (!Minion)
    return executeRefusal(ResultCode::NoMinion,
                          "This agent stands beside a worker.");
  return Minion->execute(Request);
}

wire::CommandReply AgentProcess::reserve(const wire::ReserveRequest &Request) {
  return Worker ? Worker->reserve(Request) : notAWorker();
}

wire::CommandReply AgentProcess::start(const wire::StartRequest &Request) {
  return Worker ? Worker->start(Request) : notAWorker();
}

wire::CommandReply AgentProcess::renew(const wire::RenewRequest &Request) {
  return Worker ? Worker->renew(Request) : notAWorker();
}

wire::CommandReply AgentProcess::stop(const wire::StopRequest &Request) {
  return Worker ? Worker->stop(Request) : notAWorker();
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
