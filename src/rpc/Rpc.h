/// \file
/// Calls between the processes of baobabcove, carried by gRPC.

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

/// What an entry answers to its peers. Called from several threads at once.
class EntryHandler {
public:
  virtual ~EntryHandler() = default;
  virtual wire::HeartbeatReply beat(const wire::Heartbeat &Beat) = 0;
};

/// What an agent answers to entries, the coordinator and other agents. Called
/// from several threads at once.
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

/// Answers an agent's report about its worker with orders. Called from several
/// threads at once; may wait as long as the report says.
using TaskCellHandler =
    std::function<wire::TaskOrders(const wire::TaskReport &)>;

/// A listening server. Stops accepting when destroyed.
class RpcServer {
public:
  virtual ~RpcServer() = default;

  /// The address that peers can call, with the real port.
  virtual std::string address() const = 0;

  /// Takes no new call and waits until the running ones have ended, but at
  /// most \p Patience.
  virtual void shutdown(Milliseconds Patience) = 0;
};

/// Serves on \p Address; port 0 takes any free port. Each handler may be
/// null. Fails with SettingsInvalid when the address cannot be bound.
Expected<std::unique_ptr<RpcServer>>
serveRpc(const std::string &Address, EntryHandler *EntrySide,
         AgentHandler *AgentSide, const TaskCellHandler &CellSide = {});

/// Channels to peers by address, opened on first use. A channel that carries
/// pings without answers is closed and opened anew by its keep-alive, so that
/// a connection that has fallen silent does not hold calls. Thread-safe.
///
/// Every call fails with PeerNotConnected when there was no connection, so that
/// the peer has surely not seen it, and with PeerUnreachable when it ended
/// without an answer.
class RpcPeers {
public:
  RpcPeers();
  ~RpcPeers();

  Expected<wire::HeartbeatReply> beat(const std::string &Address,
                                      const wire::Heartbeat &Request,
                                      Milliseconds Patience);
  Expected<wire::ExecuteReply> execute(const std::string &Address,
                                       const wire::ExecuteRequest &Request,
                                       Milliseconds Patience);
  Expected<wire::CommandReply> reserve(const std::string &Address,
                                       const wire::ReserveRequest &Request,
                                       Milliseconds Patience);
  Expected<wire::CommandReply> start(const std::string &Address,
                                     const wire::StartRequest &Request,
                                     Milliseconds Patience);
  Expected<wire::CommandReply> renew(const std::string &Address,
                                     const wire::RenewRequest &Request,
                                     Milliseconds Patience);
  Expected<wire::CommandReply> stop(const std::string &Address,
                                    const wire::StopRequest &Request,
                                    Milliseconds Patience);
  Expected<wire::InventoryReply>
  inventory(const std::string &Address, const wire::InventoryRequest &Request,
            Milliseconds Patience);
  Expected<wire::CommandReply> drain(const std::string &Address,
                                     const wire::DrainRequest &Request,
                                     Milliseconds Patience);

  Expected<wire::TaskOrders> attend(const std::string &Address,
                                    const wire::TaskReport &Request,
                                    Milliseconds Patience);

  /// Drops the channel to \p Address, so that the next call opens a new one.
  void forget(const std::string &Address);

private:
  struct Peer;
  std::shared_ptr<Peer> peer(const std::string &Address);

  std::mutex Mutex;
  std::map<std::string, std::shared_ptr<Peer>> Peers;
};

} // namespace baobabcove

#endif // BAOBABCOVE_RPC_RPC_H
