/// \file
/// Speaks the agents' protocol for many workers at once, to measure what they
/// cost an entry and the coordinator. Its tasks are numbers only.

#include "base/Signals.h"
#include "rpc/Rpc.h"

#include <atomic>
#include <iostream>
#include <thread>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

ABSL_FLAG(std::string, entry, "", "rpc address of an entry");
ABSL_FLAG(int, workers, 16, "workers to announce");
ABSL_FLAG(int, parts, 0, "running parts that each worker reports");
ABSL_FLAG(int, period_ms, 500, "heartbeat period, ms");

namespace baobabcove::standins {
namespace {

constexpr Milliseconds Patience{2000};
constexpr int WorkersPerThread = 32;
constexpr int WorkersPerRack = 3;
constexpr std::uint32_t WorkerSize = 8;

/// Answers inventories; takes no gangs.
class Fleet : public AgentHandler {
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

wire::Heartbeat beatOf(int Number, const std::string &Address) {
  wire::Heartbeat Beat;
  Beat.set_node("fleet-" + std::to_string(Number));
  Beat.set_incarnation(1);
  Beat.set_kind(wire::WORKER);
  Beat.set_rpc_address(Address);
  Beat.set_configuration_version(UINT64_MAX);
  Beat.mutable_location()->set_place("a");
  Beat.mutable_location()->set_data_centre("a-1");
  Beat.mutable_location()->set_rack("r" +
                                    std::to_string(Number / WorkersPerRack));
  Beat.mutable_worker()->set_accelerators(WorkerSize);
  Beat.mutable_worker()->set_cores(30);
  Beat.mutable_worker()->set_memory_mb(130000);
  for (int I = 0; I < absl::GetFlag(FLAGS_parts); ++I) {
    wire::GangPart &Part = *Beat.mutable_worker()->add_parts();
    Part.set_job("fleet-" + std::to_string(Number) + "-" + std::to_string(I));
    Part.set_attempt(1);
    Part.set_phase(wire::RESERVED);
    Part.set_accelerators(1);
  }
  return Beat;
}

void announce(int From, int Until, const std::string &Address) {
  // One connection for each worker, as real agents have.
  std::vector<std::unique_ptr<RpcPeers>> Connections;
  std::vector<wire::Heartbeat> Beats;
  for (int I = From; I < Until; ++I) {
    Connections.push_back(std::make_unique<RpcPeers>());
    Beats.push_back(beatOf(I, Address));
  }
  const Milliseconds Period(absl::GetFlag(FLAGS_period_ms));
  for (;;) {
    const Instant Began = monotonicNow();
    for (std::size_t I = 0; I < Beats.size(); ++I)
      (void)Connections[I]->beat(absl::GetFlag(FLAGS_entry), Beats[I],
                                 Patience);
    std::this_thread::sleep_until(Began + Period);
  }
}

int run() {
  blockSignals();
  Fleet Mine;
  auto Server = serveRpc("127.0.0.1:0", nullptr, &Mine);
  if (!Server)
    return 1;
  const int Workers = absl::GetFlag(FLAGS_workers);
  for (int From = 0; From < Workers; From += WorkersPerThread)
    std::thread(announce, From, std::min(Workers, From + WorkersPerThread),
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
