#ifndef BAOBABCOVE_TASKS_AGENT_WORKERCANDIDATES_H
#define BAOBABCOVE_TASKS_AGENT_WORKERCANDIDATES_H

#include "baobabcove/Clock.h"
#include "tasks.pb.h"
#include "tasks/agent/WorkerLink.h"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace baobabcove {

/// A worker incarnation that a heartbeat has announced and that has not
/// replaced the agent's worker yet.
struct WorkerCandidate {
  WorkerHeartbeat Heartbeat;
  /// When the heartbeat arrived.
  BootInstant HeardAt{};
  /// Null until the candidate is called for the first time.
  std::shared_ptr<WorkerLink> Link;
  /// Why the last call did not prove it; empty if it did, or there was none.
  std::string Doubt;
};

/// The worker incarnations that may replace an agent's worker. A heartbeat
/// proves nothing: it may be late, or another writer's. Not thread-safe.
class WorkerCandidates {
public:
  /// Records a heartbeat. The newest of a candidate counts. When there are
  /// too many candidates, drops the least likely one.
  void add(const WorkerHeartbeat &Heartbeat, BootInstant Now);

  /// Removes a candidate, and returns it with its newest heartbeat.
  WorkerCandidate take(const WorkerCandidate &Candidate);

  /// Applies the services that the coordinator's configuration names.
  void applyServices(const wire::TaskOrders &Answer);

  /// Whether the configuration or a job names \p Service.
  bool names(const ServiceName &Service) const;

  /// Returns the candidates to call: those whose service is named and which
  /// were heard of recently.
  std::vector<WorkerCandidate> due(BootInstant Now);

  /// Keeps the link and the result of a call for the next one.
  void noteCall(const WorkerCandidate &Candidate);

  std::size_t size() const { return Candidates.size(); }

  static constexpr std::size_t MaxCandidates = 8;
  /// Longer than the period of heartbeats.
  static constexpr Milliseconds Timeout{4000};

private:
  std::vector<WorkerCandidate>::iterator find(const WorkerHeartbeat &Heartbeat);
  /// Returns the candidate to drop: one without a named service or that did not
  /// answer before others, then the one that was heard of the longest ago.
  std::vector<WorkerCandidate>::iterator leastLikely();

  std::vector<WorkerCandidate> Candidates;
  /// Whether any coordinator has told the services.
  bool AreServicesKnown = false;
  /// Empty if the coordinator is of a release that tells none: any service is
  /// taken as named then.
  std::optional<std::set<ServiceName>> Services;
};

/// Whether \p Address is the IPv4 address \p Host with a port.
bool isOnHost(const std::string &Address, const std::string &Host);

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_AGENT_WORKERCANDIDATES_H
