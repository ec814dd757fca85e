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

/// Configuration of one workspace: its tokens, limits and guarantee.
struct WorkspaceConfiguration {
  /// SHA-256 digests of the callers' tokens, in lower-case hexadecimal.
  std::vector<std::string> TokenDigests;
  std::uint32_t MaxRequests = 64;
  std::uint32_t MaxQueuedJobs = 1000;
  std::vector<GuaranteeShape> Guarantee;
};

/// Configuration of one service that minions run.
struct ServiceConfiguration {
  bool Idempotent = false;
  std::uint32_t DeadlineMs = 10000;
};

struct OperatorConfiguration {
  /// SHA-256 digest of the operator's token, in lower-case hexadecimal.
  std::string TokenDigest;
};

/// The operators' configuration: workspaces, services, operators and policy.
struct Configuration {
  ConfigurationVersion Version;
  std::map<std::string, WorkspaceConfiguration> Workspaces;
  std::map<std::string, ServiceConfiguration> Services;
  std::map<std::string, OperatorConfiguration> Operators;
  /// Weight of completion time against fragmentation, from 0 to 1.
  double CompletionWeight = 0.5;
};

/// One error in the operators' configuration files.
struct ConfigurationError {
  std::string File;
  /// Line number from 1; 0 when the error has no single line.
  int Line = 0;
  std::string Key;
  /// What is wrong, and what is expected instead.
  std::string Problem;

  /// Returns "file:line: key: problem", without a line of 0 or an empty key.
  std::string str() const;
};

/// The result of reading a configuration. \c Result is complete only when there
/// are no errors.
struct ConfigurationReport {
  Configuration Result;
  std::vector<ConfigurationError> Errors;
};

/// Merges the files of \p Bundle in the order of their names, where a later
/// file overrides single keys of an earlier one, and validates the result.
ConfigurationReport readConfiguration(const wire::ConfigurationBundle &Bundle);

/// Reads every file in \p Folder whose name ends in .yaml, in the order of the
/// names. Fails with ConfigurationInvalid when the folder or a file cannot be
/// read, or when there is no such file.
Expected<std::vector<wire::ConfigurationFile>>
readConfigurationFolder(const std::string &Folder);

/// Returns the names of the files that differ between two bundles: first the
/// added and changed ones, then the removed ones.
std::vector<std::string> changedFiles(const wire::ConfigurationBundle &Older,
                                      const wire::ConfigurationBundle &Newer);

} // namespace baobabcove

#endif // BAOBABCOVE_CONFIG_CONFIGURATION_H
