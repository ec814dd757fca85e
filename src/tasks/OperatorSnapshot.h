#ifndef BAOBABCOVE_TASKS_OPERATORSNAPSHOT_H
#define BAOBABCOVE_TASKS_OPERATORSNAPSHOT_H

#include "tasks/QueueConfig.h"
#include "tasks/planning/Evacuations.h"

#include <memory>
#include <utility>

namespace baobabcove {

/// What the operators have ordered, as of one reading of the store.
struct OperatorSnapshot {
  OperatorSnapshot() = default;
  /// A configuration without evacuations.
  OperatorSnapshot(std::shared_ptr<const QueueConfig> Config)
      : Config(std::move(Config)) {}
  OperatorSnapshot(std::shared_ptr<QueueConfig> Config)
      : Config(std::move(Config)) {}
  OperatorSnapshot(std::shared_ptr<const QueueConfig> Config, Evacuations Known)
      : Config(std::move(Config)), Evacuated(std::move(Known)) {}

  /// Null before the first configuration.
  std::shared_ptr<const QueueConfig> Config;
  Evacuations Evacuated;
};

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_OPERATORSNAPSHOT_H
