#include "rpc/Rpc.h"
#include "tasks.grpc.pb.h"
#include "wire.grpc.pb.h"

#include <grpcpp/grpcpp.h>

namespace baobabcove {

namespace {

constexpr int KeepAliveMs = 1000;
constexpr int InitialReconnectMs = 200;
constexpr int MaxReconnectMs = 1000;
constexpr int MaxMessageBytes = 4 << 20;

std::shared_ptr<grpc::Channel> openChannel(const std::string &Address) {
  grpc::ChannelArguments Arguments;
  Arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, KeepAliveMs);
  Arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, KeepAliveMs);
  Arguments.SetInt(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
  Arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
  Arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, InitialReconnectMs);
  Arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, MaxReconnectMs);
  Arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, MaxReconnectMs);
  // Channels do not share connections, so that forgetting a channel closes its
  // connection.
  Arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  // Only the router retries: it knows which requests are idempotent.
  Arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  Arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  Arguments.SetMaxReceiveMessageSize(MaxMessageBytes);
  return grpc::CreateCustomChannel(Address, grpc::InsecureChannelCredentials(),
                                   Arguments);
}

/// Returns whether the call failed before it was sent on any connection.
bool wasNeverSent(const grpc::Status &Status) {
  return Status.error_code() == grpc::StatusCode::UNAVAILABLE &&
         Status.error_message().rfind("failed to connect", 0) == 0;
}

template <class Stub, class Request, class Reply>
Expected<Reply> callPeer(Stub &Target,
                         grpc::Status (Stub::*Method)(grpc::ClientContext *,
                                                      const Request &, Reply *),
                         const Request &Message, Milliseconds Timeout) {
  grpc::ClientContext Context;
  Context.set_deadline(std::chrono::system_clock::now() + Timeout);
  Reply Answer;
  const grpc::Status Status = (Target.*Method)(&Context, Message, &Answer);
  if (!Status.ok())
    return failure(wasNeverSent(Status) ? ResultCode::PeerNotConnected
                                        : ResultCode::PeerUnreachable,
                   Status.error_message());
  return Answer;
}

} // namespace

struct RpcPeers::Peer {
  explicit Peer(const std::shared_ptr<grpc::Channel> &Channel)
      : EntryStub(Channel), AgentStub(Channel), TaskCellStub(Channel) {}
  wire::Entry::Stub EntryStub;
  wire::Agent::Stub AgentStub;
  wire::TaskCell::Stub TaskCellStub;
};

RpcPeers::RpcPeers() = default;
RpcPeers::~RpcPeers() = default;

std::shared_ptr<RpcPeers::Peer> RpcPeers::peer(const std::string &Address) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  auto &Cached = Peers[Address];
  if (!Cached)
    Cached = std::make_shared<Peer>(openChannel(Address));
  return Cached;
}

void RpcPeers::forget(const std::string &Address) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  Peers.erase(Address);
}

Expected<wire::HeartbeatReply>
RpcPeers::heartbeat(const std::string &Address, const wire::Heartbeat &Request,
                    Milliseconds Timeout) {
  return callPeer(peer(Address)->EntryStub, &wire::Entry::Stub::Beat, Request,
                  Timeout);
}

Expected<wire::ExecuteReply>
RpcPeers::execute(const std::string &Address,
                  const wire::ExecuteRequest &Request, Milliseconds Timeout) {
  return callPeer(peer(Address)->AgentStub, &wire::Agent::Stub::Execute,
                  Request, Timeout);
}

Expected<wire::CommandReply>
RpcPeers::reserve(const std::string &Address,
                  const wire::ReserveRequest &Request, Milliseconds Timeout) {
  return callPeer(peer(Address)->AgentStub, &wire::Agent::Stub::Reserve,
                  Request, Timeout);
}

Expected<wire::CommandReply> RpcPeers::start(const std::string &Address,
                                             const wire::StartRequest &Request,
                                             Milliseconds Timeout) {
  return callPeer(peer(Address)->AgentStub, &wire::Agent::Stub::Start, Request,
                  Timeout);
}

Expected<wire::CommandReply> RpcPeers::renew(const std::string &Address,
                                             const wire::RenewRequest &Request,
                                             Milliseconds Timeout) {
  return callPeer(peer(Address)->AgentStub, &wire::Agent::Stub::Renew, Request,
                  Timeout);
}

Expected<wire::CommandReply> RpcPeers::stop(const std::string &Address,
                                            const wire::StopRequest &Request,
                                            Milliseconds Timeout) {
  return callPeer(peer(Address)->AgentStub, &wire::Agent::Stub::Stop, Request,
                  Timeout);
}

Expected<wire::InventoryReply>
RpcPeers::inventory(const std::string &Address,
                    const wire::InventoryRequest &Request,
                    Milliseconds Timeout) {
  return callPeer(peer(Address)->AgentStub, &wire::Agent::Stub::Inventory,
                  Request, Timeout);
}

Expected<wire::CommandReply> RpcPeers::drain(const std::string &Address,
                                             const wire::DrainRequest &Request,
                                             Milliseconds Timeout) {
  return callPeer(peer(Address)->AgentStub, &wire::Agent::Stub::Drain, Request,
                  Timeout);
}

Expected<wire::TaskOrders> RpcPeers::attend(const std::string &Address,
                                            const wire::TaskReport &Request,
                                            Milliseconds Timeout) {
  return callPeer(peer(Address)->TaskCellStub, &wire::TaskCell::Stub::Attend,
                  Request, Timeout);
}

} // namespace baobabcove
