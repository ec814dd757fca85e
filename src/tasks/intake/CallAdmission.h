/// \file
/// Admission of client calls by queue, API key and age of the configuration.

#ifndef BAOBABCOVE_TASKS_INTAKE_CALLADMISSION_H
#define BAOBABCOVE_TASKS_INTAKE_CALLADMISSION_H

#include "baobabcove/Clock.h"
#include "baobabcove/Ids.h"
#include "baobabcove/ResultCode.h"
#include "http/BearerCredentials.h"
#include "tasks/QueueConfig.h"

#include <memory>
#include <string>

namespace baobabcove {

/// An admitted call.
struct AdmittedCall {
  std::shared_ptr<const QueueConfig> Config;
  const QueueRule *Queue = nullptr;
  /// The workspace of the API key; empty for a call without one.
  WorkspaceId Workspace;
  /// The part of the path after the queue's prefix.
  std::string PathSuffix;
};

/// Admits a call. Fails with Starting before the first configuration is loaded,
/// with UnknownPath when no queue matches, with MissingToken or WrongToken when
/// the API key is absent, unreadable or unknown, and with StoreUnavailable when
/// \p Age, the time since the configuration was last confirmed to be the
/// newest, is \p MaxAge or more: the key may have been revoked in the meantime.
/// A queue that accepts calls without a key accepts none with a bad one.
Expected<AdmittedCall> admitCall(std::shared_ptr<const QueueConfig> Config,
                                 Milliseconds Age, Milliseconds MaxAge,
                                 const std::string &Host,
                                 const std::string &Path,
                                 const BearerCredentials &Credentials);

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_INTAKE_CALLADMISSION_H
