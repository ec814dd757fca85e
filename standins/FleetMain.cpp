/// \file
/// Simulates the agents of many workers, to measure the load that they put on
/// an entry and the coordinator. The reported parts run no tasks.

#include "base/Signals.h"
#include "rpc/Rpc.h"

#include <atomic>
#include <iostream>
#include <thread>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

ABSL_FLAG(std::string, entry, "", "rpc address of an entry");
ABSL_FLAG(int, workers, 16, "number of simulated workers");
ABSL_FLAG(int, parts, 0, "gang parts that each worker reports");
ABSL_FLAG(int, period_ms, 500, "heartbeat period, ms");

namespace baobabcove::standins {
namespace {

constexpr Milliseconds HeartbeatTimeout{2000};
constexpr int WorkersPerThread = 32;
constexpr int WorkersPerRack = 3;
constexpr std::uint32_t AcceleratorsPerWorker = 8;

/// Answers inventory requests with an empty inventory and refuses gangs with
/// NoCapacity.
class SimulatedAgents : public AgentHandler {
public:
  wire::ExecuteReply execute(const wire::ExecuteRequest &) override {
    return {};
  }
  wire::CommandReply reserve(const wire::ReserveRequest &) override {
    return refuse();
  }
  wire::CommandReply start(const wire::StartRequest &) override {
    return refuse();
  }
  wire::CommandReply renew(const wire::RenewRequest &) override {
    return refuse();
  }
  wire::CommandReply stop(const wire::StopRequest &) override { return {}; }
  wire::InventoryReply inventory(const wire::InventoryRequest &) override {
    return {};
  }
  wire::CommandReply drain(const wire::DrainRequest &) override { return {}; }

private:
  static wire::CommandReply refuse() {
    wire::CommandReply Reply;
    Reply.set_code(static_cast<std::uint32_t>(ResultCode::NoCapacity));
    return Reply;
  }
};

/// Returns the heartbeat of the worker \p Number. Its configuration version is
/// the highest one, so that no entry sends it a configuration.
wire::Heartbeat makeHeartbeat(int Number, const std::string &Address) {
  wire::Heartbeat Message;
  Message.set_node("fleet-" + std::to_string(Number));
  Message.set_incarnation(1);
  Message.set_kind(wire::WORKER);
  Message.set_rpc_address(Address);
  Message.set_configuration_version(UINT64_MAX);
  Message.mutable_location()->set_place("a");
  Message.mutable_location()->set_data_centre("a-1");
  Message.mutable_location()->set_rack("r" +
                                       std::to_string(Number / WorkersPerRack));
  Message.mutable_worker()->set_accelerators(AcceleratorsPerWorker);
  Message.mutable_worker()->set_cores(30);
  Message.mutable_worker()->set_memory_mb(130000);
  for (int I = 0; I < absl::GetFlag(FLAGS_parts); ++I) {
    wire::GangPart &Part = *Message.mutable_worker()->add_parts();
    Part.set_job("fleet-" + std::to_string(Number) + "-" + std::to_string(I));
    Part.set_attempt(1);
    Part.set_phase(wire::RESERVED);
    Part.set_accelerators(1);
  }
  return Message;
}

/// Sends the heartbeats of the workers [\p FirstWorker, \p EndWorker) in every
/// period, forever.
void sendHeartbeats(int FirstWorker, int EndWorker,
                    const std::string &Address) {
  // Each worker has a connection of its own, as real agents have.
  std::vector<std::unique_ptr<RpcPeers>> Connections;
  std::vector<wire::Heartbeat> Messages;
  for (int I = FirstWorker; I < EndWorker; ++I) {
    Connections.push_back(std::make_unique<RpcPeers>());
    Messages.push_back(makeHeartbeat(I, Address));
  }
  const Milliseconds Period(absl::GetFlag(FLAGS_period_ms));
  for (;;) {
    const Instant Start = monotonicNow();
    for (std::size_t I = 0; I < Messages.size(); ++I)
      (void)Connections[I]->heartbeat(absl::GetFlag(FLAGS_entry), Messages[I],
                                      HeartbeatTimeout);
    std::this_thread::sleep_until(Start + Period);
  }
}

int run() {
  blockSignals();
  SimulatedAgents Agents;
  auto Server = serveRpc("127.0.0.1:0", nullptr, &Agents);
  if (!Server)
    return 1;
  const int Workers = absl::GetFlag(FLAGS_workers);
  for (int FirstWorker = 0; FirstWorker < Workers;
       FirstWorker += WorkersPerThread)
    std::thread(sendHeartbeats, FirstWorker,
                std::min(Workers, FirstWorker + WorkersPerThread),
                (*Server)->address())
        .detach();
  std::cout << "ready rpc=" << (*Server)->address() << std::endl;
  waitForStop([] {});
  std::_Exit(0);
}

} // namespace
} // namespace baobabcove::standins

int main(int ArgumentCount, char **Arguments) {
  absl::ParseCommandLine(ArgumentCount, Arguments);
  return baobabcove::standins::run();
}
