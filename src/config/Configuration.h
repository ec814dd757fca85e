/// \file
/// The operators' configuration: workspaces, guarantees, services and policy.

#ifndef BAOBABCOVE_CONFIG_CONFIGURATION_H
#define BAOBABCOVE_CONFIG_CONFIGURATION_H

#include "baobabcove/Ids.h"
#include "baobabcove/ResultCode.h"
#include "baobabcove/Scheduler.h"
#include "wire.pb.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace baobabcove {

/// One workspace with its tokens, limits and guarantee.
struct WorkspaceConfiguration {
  /// SHA-256 digests of the callers' tokens.
  std::vector<std::string> TokenDigests;
  std::uint32_t MaxRequests = 64;
  std::uint32_t MaxQueuedJobs = 1000;
  std::vector<GuaranteeShape> Guarantee;
};

/// One service that minions answer.
struct ServiceConfiguration {
  bool Idempotent = false;
  std::uint32_t DeadlineMs = 10000;
};

/// One operator.
struct OperatorConfiguration {
  std::string TokenDigest;
};

/// What the accepted files say.
struct Configuration {
  ConfigurationVersion Version;
  std::map<std::string, WorkspaceConfiguration> Workspaces;
  std::map<std::string, ServiceConfiguration> Services;
  std::map<std::string, OperatorConfiguration> Operators;
  /// Weight of completion time against fragmentation, from 0 to 1.
  double CompletionWeight = 0.5;
};

/// One fault in the operators' files.
struct ConfigurationFault {
  std::string File;
  /// Line from 1; 0 when the fault is not in one line.
  int Line = 0;
  std::string Key;
  /// What is wrong and what would be right.
  std::string Problem;

  /// "file:line: key: problem".
  std::string str() const;
};

/// A configuration together with every fault that was found in it.
struct ConfigurationReport {
  Configuration Result;
  std::vector<ConfigurationFault> Faults;
};

/// Merges the files of \p Bundle in the order of their names, a later file
/// overriding single keys of an earlier one, and checks the whole.
ConfigurationReport readConfiguration(const wire::ConfigurationBundle &Bundle);

/// Reads every file ending in .yaml in \p Folder, in the order of the names.
/// Fails with ConfigurationInvalid when the folder or a file is unreadable.
Expected<std::vector<wire::ConfigurationFile>>
readConfigurationFolder(const std::string &Folder);

/// Names of the files that differ between two bundles.
std::vector<std::string> changedFiles(const wire::ConfigurationBundle &Older,
                                      const wire::ConfigurationBundle &Newer);

} // namespace baobabcove

#endif // BAOBABCOVE_CONFIG_CONFIGURATION_H
