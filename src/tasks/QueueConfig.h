/// \file
/// The operators' rules for queues and workspaces, one version at a time.

#ifndef BAOBABCOVE_TASKS_QUEUECONFIG_H
#define BAOBABCOVE_TASKS_QUEUECONFIG_H

#include "baobabcove/Clock.h"
#include "baobabcove/Ids.h"

#include <map>
#include <string>
#include <vector>

namespace baobabcove {

/// Which jobs a queue takes and how they are run.
struct QueueRule {
  std::string Name;
  std::string Host;
  /// Beginning of the paths that belong to the queue.
  std::string Prefix;
  ServiceName Service;
  /// Zero goes first and may preempt the others.
  std::uint32_t Priority = 0;
  std::uint32_t MaxAttempts = 1;
  /// Multiple of the longest chain of work within which a job is on time.
  double Stretch = 1;
  Milliseconds TargetLatency{0};
  /// Calls need no key.
  bool Anonymous = false;
};

/// Accelerators that belong to a workspace's urgent jobs at all times.
struct WorkspaceRule {
  WorkspaceId Name;
  std::int64_t GuaranteedAccelerators = 0;
};

/// One version of the rules.
struct QueueConfig {
  std::int64_t Version = 0;
  std::vector<QueueRule> Queues;
  std::map<WorkspaceId, WorkspaceRule> Workspaces;
  /// Which workspace a key belongs to.
  std::map<std::string, WorkspaceId> Keys;
};

/// The queue of \p Host with the longest prefix that \p Path begins with, or
/// null.
const QueueRule *findQueue(const QueueConfig &Config, const std::string &Host,
                           const std::string &Path);

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_QUEUECONFIG_H
