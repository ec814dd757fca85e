#ifndef BAOBABCOVE_TASKS_QUEUECONFIG_H
#define BAOBABCOVE_TASKS_QUEUECONFIG_H

#include "baobabcove/Clock.h"
#include "baobabcove/Ids.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace baobabcove {

/// The paths that a queue serves and how its jobs are run.
struct QueueRule {
  std::string Name;
  std::string Host;
  /// Prefix of the paths that belong to the queue.
  std::string Prefix;
  ServiceName Service;
  /// Zero is the highest priority and may preempt the others.
  std::uint32_t Priority = 0;
  std::uint32_t MaxAttempts = 1;
  /// A job is on time if it takes at most this multiple of its longest chain of
  /// steps, plus the target latency.
  double Stretch = 1;
  Milliseconds TargetLatency{0};
  /// Calls are accepted without an API key.
  bool Anonymous = false;
};

/// Accelerators that are guaranteed to the urgent jobs of a workspace.
struct WorkspaceRule {
  WorkspaceId Name;
  std::int64_t GuaranteedAccelerators = 0;
};

/// How the workers of a service behave while they are cold.
struct ServiceRule {
  /// False if new workers of the service are never cold.
  bool HasColdPeriod = true;
  /// Starts per second that a cold worker serves; zero for no limit.
  double ColdStartsPerSecond = 0;
};

/// Limits on the requests of clients.
struct RequestLimits {
  std::size_t HeaderBytes = 16384;
  std::size_t BodyBytes = 262144;
  Milliseconds HeaderTimeout{3000};
  Milliseconds IdleTimeout{15000};
};

/// One version of the operators' configuration of queues and workspaces.
struct QueueConfig {
  std::int64_t Version = 0;
  std::vector<QueueRule> Queues;
  std::map<WorkspaceId, WorkspaceRule> Workspaces;
  /// Services without an entry have the default rule.
  std::map<ServiceName, ServiceRule> Services;
  /// Workspaces by API key.
  std::map<std::string, WorkspaceId> Keys;
  RequestLimits Limits;
};

/// Returns the queue of \p Host with the longest prefix of \p Path, or null.
const QueueRule *findQueue(const QueueConfig &Config, const std::string &Host,
                           const std::string &Path);

/// Returns the services that \p Config names.
std::set<ServiceName> serviceNames(const QueueConfig &Config);

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_QUEUECONFIG_H
