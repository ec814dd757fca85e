/// \file
/// Which calls are let in: by queue, key and the age of the configuration.

#ifndef BAOBABCOVE_TASKS_CALLGATE_H
#define BAOBABCOVE_TASKS_CALLGATE_H

#include "baobabcove/Clock.h"
#include "baobabcove/Ids.h"
#include "baobabcove/ResultCode.h"
#include "tasks/QueueConfig.h"

#include <memory>
#include <string>

namespace baobabcove {

/// A call that was let in.
struct AdmittedCall {
  std::shared_ptr<const QueueConfig> Config;
  const QueueRule *Queue = nullptr;
  /// Empty for a call without a key.
  WorkspaceId Workspace;
  /// What follows the queue's prefix in the path.
  std::string Rest;
};

/// Lets a call in. Fails with Starting before the first configuration, with
/// UnknownPath when no queue takes it, with MissingToken or WrongToken, and
/// with StoreUnavailable when \p Age, the time since the configuration was
/// known to be the newest, is \p MaxAge or more: a key may have been taken
/// away in the meantime.
Expected<AdmittedCall> admitCall(std::shared_ptr<const QueueConfig> Config,
                                 Milliseconds Age, Milliseconds MaxAge,
                                 const std::string &Host,
                                 const std::string &Path,
                                 const std::string &Authorization);

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_CALLGATE_H
