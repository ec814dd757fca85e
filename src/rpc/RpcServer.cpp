#include "rpc/Rpc.h"
#include "tasks.grpc.pb.h"
#include "wire.grpc.pb.h"

#include <grpcpp/grpcpp.h>

namespace baobabcove {

namespace {

constexpr int MinPingIntervalMs = 300;
constexpr int KeepAliveMs = 1000;
constexpr int MaxMessageBytes = 4 << 20;
/// Threads that have answered a call wait for the next one up to this number;
/// by default two do, and each further call starts a thread.
constexpr int MaxIdleThreads = 512;
/// Calls of one connection that are served at once: the most requests that a
/// minion can run at once.
constexpr int MaxStreams = 4096;

class EntryService : public wire::Entry::Service {
public:
  explicit EntryService(EntryHandler *Handler) : Handler(Handler) {}

  grpc::Status Beat(grpc::ServerContext *, const wire::Heartbeat *Request,
                    wire::HeartbeatReply *Reply) override {
    *Reply = Handler->heartbeat(*Request);
    return grpc::Status::OK;
  }

private:
  EntryHandler *Handler;
};

class AgentService : public wire::Agent::Service {
public:
  explicit AgentService(AgentHandler *Handler) : Handler(Handler) {}

  grpc::Status Execute(grpc::ServerContext *,
                       const wire::ExecuteRequest *Request,
                       wire::ExecuteReply *Reply) override {
    *Reply = Handler->execute(*Request);
    return grpc::Status::OK;
  }
  grpc::Status Reserve(grpc::ServerContext *,
                       const wire::ReserveRequest *Request,
                       wire::CommandReply *Reply) override {
    *Reply = Handler->reserve(*Request);
    return grpc::Status::OK;
  }
  grpc::Status Start(grpc::ServerContext *, const wire::StartRequest *Request,
                     wire::CommandReply *Reply) override {
    *Reply = Handler->start(*Request);
    return grpc::Status::OK;
  }
  grpc::Status Renew(grpc::ServerContext *, const wire::RenewRequest *Request,
                     wire::CommandReply *Reply) override {
    *Reply = Handler->renew(*Request);
    return grpc::Status::OK;
  }
  grpc::Status Stop(grpc::ServerContext *, const wire::StopRequest *Request,
                    wire::CommandReply *Reply) override {
    *Reply = Handler->stop(*Request);
    return grpc::Status::OK;
  }
  grpc::Status Inventory(grpc::ServerContext *,
                         const wire::InventoryRequest *Request,
                         wire::InventoryReply *Reply) override {
    *Reply = Handler->inventory(*Request);
    return grpc::Status::OK;
  }
  grpc::Status Drain(grpc::ServerContext *, const wire::DrainRequest *Request,
                     wire::CommandReply *Reply) override {
    *Reply = Handler->drain(*Request);
    return grpc::Status::OK;
  }

private:
  AgentHandler *Handler;
};

class TaskCellService : public wire::TaskCell::Service {
public:
  explicit TaskCellService(TaskCellHandler Handler)
      : Handler(std::move(Handler)) {}

  grpc::Status Attend(grpc::ServerContext *, const wire::TaskReport *Request,
                      wire::TaskOrders *Reply) override {
    *Reply = Handler(*Request);
    return grpc::Status::OK;
  }

private:
  TaskCellHandler Handler;
};

class GrpcServer : public RpcServer {
public:
  GrpcServer(EntryHandler *EntryRpcHandler, AgentHandler *AgentRpcHandler,
             const TaskCellHandler &CellRpcHandler)
      : EntryServer(EntryRpcHandler), AgentServer(AgentRpcHandler),
        TaskCellServer(CellRpcHandler), HasEntry(EntryRpcHandler),
        HasAgent(AgentRpcHandler), HasTaskCell(CellRpcHandler) {}

  ~GrpcServer() override { shutdown(Milliseconds(0)); }

  bool listen(const std::string &Address) {
    grpc::ServerBuilder Builder;
    int Port = 0;
    Builder.AddListeningPort(Address, grpc::InsecureServerCredentials(), &Port);
    Builder.SetMaxReceiveMessageSize(MaxMessageBytes);
    Builder.AddChannelArgument(GRPC_ARG_MAX_CONCURRENT_STREAMS, MaxStreams);
    Builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    Builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIME_MS, KeepAliveMs);
    Builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, KeepAliveMs);
    Builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
    Builder.AddChannelArgument(
        GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS,
        MinPingIntervalMs);
    Builder.AddChannelArgument(GRPC_ARG_HTTP2_MAX_PING_STRIKES, 0);
    Builder.SetSyncServerOption(grpc::ServerBuilder::MAX_POLLERS,
                                MaxIdleThreads);
    if (HasEntry)
      Builder.RegisterService(&EntryServer);
    if (HasAgent)
      Builder.RegisterService(&AgentServer);
    if (HasTaskCell)
      Builder.RegisterService(&TaskCellServer);
    Server = Builder.BuildAndStart();
    BoundAddress =
        Address.substr(0, Address.rfind(':') + 1) + std::to_string(Port);
    return Server && Port != 0;
  }

  std::string address() const override { return BoundAddress; }

  void shutdown(Milliseconds Timeout) override {
    if (Server)
      Server->Shutdown(std::chrono::system_clock::now() + Timeout);
  }

private:
  EntryService EntryServer;
  AgentService AgentServer;
  TaskCellService TaskCellServer;
  const bool HasEntry;
  const bool HasAgent;
  const bool HasTaskCell;
  std::unique_ptr<grpc::Server> Server;
  std::string BoundAddress;
};

} // namespace

Expected<std::unique_ptr<RpcServer>>
serveRpc(const std::string &Address, EntryHandler *EntryRpcHandler,
         AgentHandler *AgentRpcHandler, const TaskCellHandler &CellRpcHandler) {
  auto Server = std::make_unique<GrpcServer>(EntryRpcHandler, AgentRpcHandler,
                                             CellRpcHandler);
  if (!Server->listen(Address))
    return failure(ResultCode::SettingsInvalid,
                   "Cannot listen on " + Address + ".");
  return Server;
}

} // namespace baobabcove
