#ifndef BAOBABCOVE_CONFIG_SETTINGS_H
#define BAOBABCOVE_CONFIG_SETTINGS_H

#include "baobabcove/ResultCode.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace baobabcove {

/// Settings of an entry or an agent, from a YAML file and the command line.
/// docs/CONFIGURATION.md describes every key.
struct Settings {
  std::string Node;
  std::string Place;
  std::string DataCentre;
  std::string Rack;
  std::string Cell = "main";
  std::string HttpAddress = "127.0.0.1:0";
  std::string RpcAddress = "127.0.0.1:0";
  /// Address that peers use; empty means the bound RPC address.
  std::string AdvertisedRpcAddress;
  std::string StoreAddress;
  /// SHA-256 of the token that may apply the first configuration.
  std::string BootstrapDigest;
  std::vector<std::string> EntryAddresses;
  std::string LogFormat = "text";
  std::string ChartFolder;
  std::string TargetKind;
  std::string TargetAddress;
  std::string Service;
  std::string Policy = "packing";
  std::uint32_t Slots = 8;
  std::uint32_t Accelerators = 8;
  std::uint32_t Cores = 30;
  std::uint32_t MemoryMb = 130000;
  std::uint32_t HeartbeatMs = 500;
  std::uint32_t MinionSilenceMs = 2500;
  std::uint32_t WorkerSilenceMs = 6000;
  std::uint32_t IsolationMs = 4000;
  std::uint32_t AutonomyMs = 14400000;
  std::uint32_t RoleLeaseS = 4;
  std::uint32_t GangLeaseMs = 5000;
  std::uint32_t HttpThreads = 256;
  std::uint32_t MaxConnections = 1024;
  std::uint32_t ProcessMemoryMb = 160;
  std::uint32_t HeaderTimeoutMs = 5000;
  std::uint32_t LameDuckMs = 1500;
  std::uint32_t MaxOutcomes = 8192;
  std::uint32_t RetryPercent = 20;
  std::uint32_t ClaimTtlS = 86400;
  std::uint32_t JobRetentionS = 86400;
};

/// The member of Settings that holds the value of a key.
using SettingMember =
    std::variant<std::string Settings::*, std::uint32_t Settings::*,
                 std::vector<std::string> Settings::*>;

/// One key of the settings file. docs/CONFIGURATION.md repeats the help text.
struct SettingKey {
  std::string_view Key;
  SettingMember Member;
  std::string_view Help;
  /// Inclusive range of a number; unused for other types.
  std::uint32_t Min = 0;
  std::uint32_t Max = 0;
};

/// Returns all keys, in the order of the documentation.
const std::vector<SettingKey> &settingKeys();

/// Reads the YAML file \p Path, unless that is empty, and then applies
/// \p Overrides of the form "key=value". Fails with SettingsInvalid; the detail
/// names file, line and key, and suggests a known key for an unknown one.
Expected<Settings> readSettings(const std::string &Path,
                                const std::vector<std::string> &Overrides);

/// Checks the keys that an entry requires, and constraints between keys. Fails
/// with SettingsInvalid.
Expected<void> checkEntrySettings(const Settings &Checked);
/// Checks the keys that an agent requires, and constraints between keys. Fails
/// with SettingsInvalid.
Expected<void> checkAgentSettings(const Settings &Checked);

} // namespace baobabcove

#endif // BAOBABCOVE_CONFIG_SETTINGS_H
