/// \file
/// The agent beside one minion or worker.

#ifndef BAOBABCOVE_AGENT_AGENTPROCESS_H
#define BAOBABCOVE_AGENT_AGENTPROCESS_H

#include "agent/MinionGuard.h"
#include "agent/WorkerGuard.h"
#include "base/Metrics.h"
#include "config/ConfigurationKeeper.h"
#include "config/Settings.h"
#include "http/Access.h"
#include "http/HttpServer.h"
#include "membership/Announcer.h"
#include "rpc/Rpc.h"
#include "store/Store.h"

#include <atomic>
#include <memory>
#include <string>
#include <thread>

namespace baobabcove {

/// Ties the parts of an agent together.
class AgentProcess : public AgentHandler {
public:
  AgentProcess(const Settings &Of, StateCharts Charts);
  ~AgentProcess() override;

  /// Binds the addresses and begins to announce the target.
  Expected<void> start();

  /// Graceful shutdown: takes nothing new, waits for what runs, at most
  /// \p Patience, and takes leave of the entries.
  void stop(Milliseconds Patience);

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
  wire::Heartbeat beat() const;
  void onReply(const wire::HeartbeatReply &Reply, Instant SentAt);
  HttpResponse onHttp(const HttpRequest &Request);
  void findEntriesLoop();

  const Settings Of;
  const StateCharts Charts;
  const std::uint64_t Incarnation;
  Metrics Figures;
  ConfigurationKeeper Keeper;
  RpcPeers Peers;
  std::unique_ptr<MinionGuard> Minion;
  std::unique_ptr<WorkerGuard> Worker;
  std::unique_ptr<RpcServer> Rpc;
  std::unique_ptr<HttpServer> Http;
  std::unique_ptr<Announcer> Announcing;
  std::unique_ptr<Store> Platform;
  std::atomic<bool> Stopping{false};
  std::thread FindEntries;
};

} // namespace baobabcove

#endif // BAOBABCOVE_AGENT_AGENTPROCESS_H
