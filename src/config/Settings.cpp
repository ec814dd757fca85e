#include "config/Settings.h"

#include "base/Text.h"

#include <algorithm>

#include <yaml-cpp/yaml.h>

namespace baobabcove {

namespace {

std::string locationOf(const std::string &Source, const YAML::Mark &Mark) {
  return Source + ":" + std::to_string(Mark.line + 1) + ": ";
}

const SettingKey *findKey(const std::string &Name) {
  const auto &Keys = settingKeys();
  const auto Found =
      std::find_if(Keys.begin(), Keys.end(),
                   [&](const SettingKey &Key) { return Key.Key == Name; });
  return Found == Keys.end() ? nullptr : &*Found;
}

std::string unknownKeyMessage(const std::string &Name) {
  std::vector<std::string> Known;
  for (const auto &Key : settingKeys())
    Known.emplace_back(Key.Key);
  const std::string Suggestion = nearestName(Name, Known);
  std::string Text = "unknown key \"" + Name + "\"";
  if (!Suggestion.empty())
    Text += "; did you mean \"" + Suggestion + "\"?";
  return Text;
}

/// Writes one YAML value into the member of a key. Returns what is wrong with
/// the value, or an empty string.
struct ValueWriter {
  Settings &Target;
  const SettingKey &Key;
  const YAML::Node &Value;

  std::string operator()(std::string Settings::*Member) const {
    if (!Value.IsScalar())
      return "must be a string";
    Target.*Member = Value.Scalar();
    return {};
  }

  std::string operator()(std::uint32_t Settings::*Member) const {
    long long Number = 0;
    if (!Value.IsScalar() || !YAML::convert<long long>::decode(Value, Number) ||
        Number < Key.Min || Number > Key.Max)
      return "must be a whole number from " + std::to_string(Key.Min) + " to " +
             std::to_string(Key.Max);
    Target.*Member = static_cast<std::uint32_t>(Number);
    return {};
  }

  std::string operator()(std::vector<std::string> Settings::*Member) const {
    if (!Value.IsSequence())
      return "must be a list of strings";
    std::vector<std::string> Items;
    for (const auto &Item : Value) {
      if (!Item.IsScalar())
        return "must be a list of strings";
      Items.push_back(Item.Scalar());
    }
    Target.*Member = std::move(Items);
    return {};
  }
};

Expected<void> writeValue(Settings &Target, const std::string &Source,
                          const std::string &Name, const YAML::Node &Value) {
  const std::string Location = locationOf(Source, Value.Mark());
  const SettingKey *Key = findKey(Name);
  if (!Key)
    return failure(ResultCode::SettingsInvalid,
                   Location + unknownKeyMessage(Name) + ".");
  const std::string Problem =
      std::visit(ValueWriter{Target, *Key, Value}, Key->Member);
  if (!Problem.empty())
    return failure(ResultCode::SettingsInvalid,
                   Location + "key \"" + Name + "\" " + Problem + ".");
  return {};
}

Expected<void> readFileInto(Settings &Target, const std::string &Path) {
  std::string Content;
  if (!readFile(Path, Content))
    return failure(ResultCode::SettingsInvalid,
                   Path + ": the file cannot be read.");
  try {
    const YAML::Node Root = YAML::Load(Content);
    if (Root.IsNull())
      return {};
    if (!Root.IsMap())
      return failure(ResultCode::SettingsInvalid,
                     locationOf(Path, Root.Mark()) +
                         "the file must be a map of keys.");
    for (const auto &Pair : Root) {
      auto Written = writeValue(Target, Path, Pair.first.Scalar(), Pair.second);
      if (!Written)
        return Written;
    }
  } catch (const YAML::Exception &Exception) {
    return failure(ResultCode::SettingsInvalid,
                   locationOf(Path, Exception.mark) + Exception.msg + ".");
  }
  return {};
}

Expected<void> readOverride(Settings &Target, const std::string &Override) {
  const std::size_t Equals = Override.find('=');
  if (Equals == std::string::npos)
    return failure(ResultCode::SettingsInvalid,
                   "--set: \"" + Override + "\" must have the form key=value.");
  try {
    YAML::Node Value = YAML::Load(Override.substr(Equals + 1));
    if (Value.IsNull())
      Value = YAML::Node(std::string());
    return writeValue(Target, "--set", Override.substr(0, Equals), Value);
  } catch (const YAML::Exception &Exception) {
    return failure(ResultCode::SettingsInvalid,
                   "--set: \"" + Override + "\": " + Exception.msg + ".");
  }
}

Expected<void> checkCommon(const Settings &Checked) {
  if (Checked.Node.empty())
    return failure(ResultCode::SettingsInvalid,
                   "key \"node\" is missing; give this process a name.");
  if (Checked.WorkerSilenceMs < Checked.IsolationMs + Checked.HeartbeatMs)
    return failure(ResultCode::SettingsInvalid,
                   "key \"worker_silence_ms\" must be at least the sum of "
                   "isolation_ms and heartbeat_ms.");
  if (Checked.LogFormat != "text" && Checked.LogFormat != "json")
    return failure(ResultCode::SettingsInvalid,
                   "key \"log_format\" must be text or json.");
  return {};
}

} // namespace

const std::vector<SettingKey> &settingKeys() {
  using S = Settings;
  static const std::vector<SettingKey> Keys = {
      {"node", &S::Node, "name of this process, unique in the deployment"},
      {"place", &S::Place, "region in which the process stands"},
      {"data_centre", &S::DataCentre, "data centre of the process"},
      {"rack", &S::Rack, "rack of the worker"},
      {"cell", &S::Cell, "group of workers under one coordinator"},
      {"http_address", &S::HttpAddress, "ip:port of the HTTP interface"},
      {"rpc_address", &S::RpcAddress, "ip:port for calls of peers"},
      {"advertised_rpc_address", &S::AdvertisedRpcAddress,
       "ip:port that peers use, if not rpc_address"},
      {"store_address", &S::StoreAddress,
       "ip:port of the platform's store; agents may go without"},
      {"bootstrap_digest", &S::BootstrapDigest,
       "SHA-256 of the token that may apply the first configuration"},
      {"entry_addresses", &S::EntryAddresses,
       "rpc addresses of some entries, to begin with"},
      {"log_format", &S::LogFormat, "text or json"},
      {"chart_folder", &S::ChartFolder,
       "folder of the state charts; empty for the program's own"},
      {"target_kind", &S::TargetKind, "agent: minion or worker"},
      {"target_address", &S::TargetAddress, "agent: ip:port of the target"},
      {"service", &S::Service, "agent of a minion: the service it answers"},
      {"policy", &S::Policy, "placement policy of the coordinator"},
      {"slots", &S::Slots, "requests that a minion runs at once", 1, 4096},
      {"accelerators", &S::Accelerators, "accelerators of the worker", 1, 64},
      {"cores", &S::Cores, "processor cores of the worker", 1, 4096},
      {"memory_mb", &S::MemoryMb, "memory of the worker, MiB", 1, 1U << 30},
      {"heartbeat_ms", &S::HeartbeatMs, "heartbeat period, ms", 50, 10000},
      {"minion_silence_ms", &S::MinionSilenceMs,
       "a minion silent for longer gets no requests, ms", 200, 60000},
      {"worker_silence_ms", &S::WorkerSilenceMs,
       "a worker silent for longer is held for lost, ms", 500, 120000},
      {"isolation_ms", &S::IsolationMs,
       "a worker that no entry answers for longer stops its tasks, ms", 500,
       120000},
      {"autonomy_ms", &S::AutonomyMs,
       "a worker out of the coordinator's reach for longer stops its tasks, ms",
       1000, 86400000},
      {"role_lease_s", &S::RoleLeaseS, "coordinator's lease, s", 1, 60},
      {"gang_lease_ms", &S::GangLeaseMs, "lease of a gang, ms", 500, 120000},
      {"http_threads", &S::HttpThreads, "threads for requests", 4, 4096},
      {"max_connections", &S::MaxConnections, "open connections", 8, 65536},
      {"process_memory_mb", &S::ProcessMemoryMb,
       "memory of this process; an eighth is for HTTP messages, MiB", 64,
       1U << 20},
      {"header_timeout_ms", &S::HeaderTimeoutMs,
       "time for a request's header and body to arrive, ms", 100, 60000},
      {"lame_duck_ms", &S::LameDuckMs,
       "time between going unready and closing the listener, ms", 0, 3000},
      {"max_outcomes", &S::MaxOutcomes, "request outcomes that an agent keeps",
       16, 1U << 20},
      {"retry_percent", &S::RetryPercent, "retries for each hundred requests",
       0, 100},
      {"claim_ttl_s", &S::ClaimTtlS,
       "time for which an idempotency key is remembered, s", 60, 604800},
      {"job_retention_s", &S::JobRetentionS,
       "time for which ended jobs are kept, s", 1, 2592000},
  };
  return Keys;
}

Expected<Settings> readSettings(const std::string &Path,
                                const std::vector<std::string> &Overrides) {
  Settings Result;
  if (!Path.empty()) {
    if (auto Status = readFileInto(Result, Path); !Status)
      return tl::unexpected<Error>(Status.error());
  }
  for (const auto &Override : Overrides) {
    if (auto Status = readOverride(Result, Override); !Status)
      return tl::unexpected<Error>(Status.error());
  }
  return Result;
}

Expected<void> checkEntrySettings(const Settings &Checked) {
  if (auto Status = checkCommon(Checked); !Status)
    return Status;
  if (Checked.StoreAddress.empty())
    return failure(ResultCode::SettingsInvalid,
                   "key \"store_address\" is missing; name the store.");
  return {};
}

Expected<void> checkAgentSettings(const Settings &Checked) {
  if (auto Status = checkCommon(Checked); !Status)
    return Status;
  if (Checked.TargetKind != "minion" && Checked.TargetKind != "worker")
    return failure(ResultCode::SettingsInvalid,
                   "key \"target_kind\" must be minion or worker.");
  if (Checked.TargetAddress.empty())
    return failure(ResultCode::SettingsInvalid,
                   "key \"target_address\" is missing; name the target.");
  if (Checked.EntryAddresses.empty())
    return failure(ResultCode::SettingsInvalid,
                   "key \"entry_addresses\" is missing; name an entry.");
  if (Checked.TargetKind == "minion" && Checked.Service.empty())
    return failure(ResultCode::SettingsInvalid,
                   "key \"service\" is missing; name the minion's service.");
  return {};
}

} // namespace baobabcove
