#ifndef BAOBABCOVE_AGENT_AGENTPROCESS_H
#define BAOBABCOVE_AGENT_AGENTPROCESS_H

#include "agent/MinionController.h"
#include "agent/WorkerController.h"
#include "base/Metrics.h"
#include "config/ActiveConfiguration.h"
#include "config/Settings.h"
#include "http/Access.h"
#include "http/HttpServer.h"
#include "membership/HeartbeatSender.h"
#include "rpc/Rpc.h"
#include "store/Store.h"

#include <atomic>
#include <memory>
#include <string>
#include <thread>

namespace baobabcove {

/// The agent process of one minion or worker: serves the agent RPCs and the
/// admin HTTP interface and sends heartbeats to the entries.
class AgentProcess : public AgentHandler {
public:
  AgentProcess(const Settings &Options, StateCharts Charts);
  ~AgentProcess() override;

  /// Binds the addresses and starts sending heartbeats. Fails when an address
  /// cannot be bound.
  Expected<void> start();

  /// Shuts down gracefully: refuses new work, waits at most \p Timeout for
  /// running work and sends the entries a final heartbeat.
  void stop(Milliseconds Timeout);

  std::string dump() const;
  std::string httpAddress() const { return Http->address(); }
  std::string rpcAddress() const { return Rpc->address(); }

  wire::ExecuteReply execute(const wire::ExecuteRequest &Request) override;
  wire::CommandReply reserve(const wire::ReserveRequest &Request) override;
  wire::CommandReply start(const wire::StartRequest &Request) override;
  wire::CommandReply renew(const wire::RenewRequest &Request) override;
  wire::CommandReply stop(const wire::StopRequest &Request) override;
  wire::InventoryReply
  inventory(const wire::InventoryRequest &Request) override;
  wire::CommandReply drain(const wire::DrainRequest &Request) override;

private:
  void setDraining(bool Draining);
  wire::Heartbeat buildHeartbeat() const;
  void onHeartbeatReply(const wire::HeartbeatReply &Reply, Instant SentAt);
  HttpResponse onHttp(const HttpRequest &Request);
  void entryDiscoveryLoop();

  const Settings Options;
  const StateCharts Charts;
  const std::uint64_t Incarnation;
  Metrics Stats;
  ActiveConfiguration ActiveConfig;
  RpcPeers Peers;
  std::unique_ptr<MinionController> Minion;
  std::unique_ptr<WorkerController> Worker;
  std::unique_ptr<RpcServer> Rpc;
  std::unique_ptr<HttpServer> Http;
  std::unique_ptr<HeartbeatSender> Heartbeats;
  std::unique_ptr<Store> StoreClient;
  std::atomic<bool> Stopping{false};
  std::thread DiscoveryThread;
};

} // namespace baobabcove

#endif // BAOBABCOVE_AGENT_AGENTPROCESS_H
