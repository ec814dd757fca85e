/// \file
/// gRPC servers and clients for the calls between baobabcove processes.

#ifndef BAOBABCOVE_RPC_RPC_H
#define BAOBABCOVE_RPC_RPC_H

#include "baobabcove/Clock.h"
#include "baobabcove/ResultCode.h"
#include "tasks.pb.h"
#include "wire.pb.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace baobabcove {

/// Handles the RPCs of an entry. Called concurrently from several threads.
class EntryHandler {
public:
  virtual ~EntryHandler() = default;
  virtual wire::HeartbeatReply heartbeat(const wire::Heartbeat &Message) = 0;
};

/// Handles the RPCs that entries, the coordinator and other agents send to an
/// agent. Called concurrently from several threads.
class AgentHandler {
public:
  virtual ~AgentHandler() = default;
  virtual wire::ExecuteReply execute(const wire::ExecuteRequest &Request) = 0;
  virtual wire::CommandReply reserve(const wire::ReserveRequest &Request) = 0;
  virtual wire::CommandReply start(const wire::StartRequest &Request) = 0;
  virtual wire::CommandReply renew(const wire::RenewRequest &Request) = 0;
  virtual wire::CommandReply stop(const wire::StopRequest &Request) = 0;
  virtual wire::InventoryReply
  inventory(const wire::InventoryRequest &Request) = 0;
  virtual wire::CommandReply drain(const wire::DrainRequest &Request) = 0;
};

/// Handles an agent's report about its worker and returns the orders for it.
/// Called concurrently from several threads; may block for the wait time given
/// in the report.
using TaskCellHandler =
    std::function<wire::TaskOrders(const wire::TaskReport &)>;

/// A listening RPC server. Shuts down when destroyed.
class RpcServer {
public:
  virtual ~RpcServer() = default;

  /// Returns the listening address with the bound port.
  virtual std::string address() const = 0;

  /// Stops accepting calls and waits at most \p Timeout for the running ones.
  virtual void shutdown(Milliseconds Timeout) = 0;
};

/// Starts a server on \p Address; port 0 selects a free port. Each handler may
/// be null. Fails with SettingsInvalid when the address cannot be bound.
Expected<std::unique_ptr<RpcServer>>
serveRpc(const std::string &Address, EntryHandler *EntryRpcHandler,
         AgentHandler *AgentRpcHandler,
         const TaskCellHandler &CellRpcHandler = {});

/// Client channels to peers by address, opened on first use. Keep-alive pings
/// detect a connection on which the peer no longer answers; the channel then
/// reconnects, so that calls do not hang. Thread-safe.
///
/// Every call fails with PeerNotConnected when there was no connection, in
/// which case the peer has not received it, and with PeerUnreachable when it
/// ended without an answer.
class RpcPeers {
public:
  RpcPeers();
  ~RpcPeers();

  Expected<wire::HeartbeatReply> heartbeat(const std::string &Address,
                                           const wire::Heartbeat &Request,
                                           Milliseconds Timeout);
  Expected<wire::ExecuteReply> execute(const std::string &Address,
                                       const wire::ExecuteRequest &Request,
                                       Milliseconds Timeout);
  Expected<wire::CommandReply> reserve(const std::string &Address,
                                       const wire::ReserveRequest &Request,
                                       Milliseconds Timeout);
  Expected<wire::CommandReply> start(const std::string &Address,
                                     const wire::StartRequest &Request,
                                     Milliseconds Timeout);
  Expected<wire::CommandReply> renew(const std::string &Address,
                                     const wire::RenewRequest &Request,
                                     Milliseconds Timeout);
  Expected<wire::CommandReply> stop(const std::string &Address,
                                    const wire::StopRequest &Request,
                                    Milliseconds Timeout);
  Expected<wire::InventoryReply>
  inventory(const std::string &Address, const wire::InventoryRequest &Request,
            Milliseconds Timeout);
  Expected<wire::CommandReply> drain(const std::string &Address,
                                     const wire::DrainRequest &Request,
                                     Milliseconds Timeout);

  Expected<wire::TaskOrders> attend(const std::string &Address,
                                    const wire::TaskReport &Request,
                                    Milliseconds Timeout);

  /// Closes the channel to \p Address; the next call opens a new one.
  void forget(const std::string &Address);

private:
  struct Peer;
  std::shared_ptr<Peer> peer(const std::string &Address);

  std::mutex Mutex;
  std::map<std::string, std::shared_ptr<Peer>> Peers;
};

} // namespace baobabcove

#endif // BAOBABCOVE_RPC_RPC_H
