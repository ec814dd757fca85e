#ifndef BAOBABCOVE_TESTS_SUPPORT_DEPLOYMENT_H
#define BAOBABCOVE_TESTS_SUPPORT_DEPLOYMENT_H

#include "Process.h"

#include "base/HttpClient.h"
#include "wire.pb.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <Poco/JSON/Object.h>

namespace baobabcove::testing {

/// Size and settings of a test deployment.
struct DeploymentOptions {
  int Entries = 2;
  int Minions = 0;
  int Workers = 0;
  /// The agents are spread over the data centres a-1, a-2 and so on.
  int DataCentres = 1;
  /// Puts a proxy in front of the RPC address of each minion's agent.
  bool ProxyMinionAgents = false;
  /// Puts a proxy in front of the RPC address of each worker's agent.
  bool ProxyWorkerAgents = false;
  /// Puts a proxy in front of the RPC address of each entry.
  bool ProxyEntries = false;
  /// Puts a proxy in front of the store.
  bool ProxyStore = false;
  int MinionWorkMs = 5;
  /// Additional settings of every entry, as YAML lines.
  std::string EntrySettings;
  /// Additional settings of every agent, as YAML lines.
  std::string AgentSettings;
};

/// Response to a call, with the outcome that it reports.
struct CallResult {
  int Status = 0;
  std::string Body;
  /// "answered", "not run", "unknown", or empty when there was no response.
  std::string Outcome;
  /// Responses to all attempts of a caller, for messages.
  std::string Attempts;
};

/// A deployment of real daemons with stand-ins of the store, minions and
/// workers, whose faults tests can control. The constructor starts the
/// processes and applies a configuration; the destructor kills them. Waits are
/// for a condition, with a generous time limit.
class Deployment {
public:
  explicit Deployment(const DeploymentOptions &Options);
  ~Deployment();

  static constexpr const char *OperatorToken = "test-operator";
  static constexpr const char *CallerToken = "test-caller";
  static constexpr const char *OtherToken = "test-other";
  static constexpr const char *Service = "bench-planner";

  /// Returns whether all processes started and have the configuration.
  bool ready() const { return Ready; }

  Process &store() { return *Store; }
  Process &entry(int I) { return *Entries[I]; }
  Process &minion(int I) { return *Minions[I]; }
  Process &minionAgent(int I) { return *MinionAgents[I]; }
  Process &worker(int I) { return *Workers[I]; }
  Process &workerAgent(int I) { return *WorkerAgents[I]; }

  /// Kills a process and starts it again under the same name. Returns whether
  /// it got ready. Entries and agents get new addresses; a minion or worker
  /// that was still running keeps its address. Different daemons may be
  /// restarted from different threads, but an agent and its minion or worker
  /// only from the same one.
  bool restartEntry(int I);
  bool restartMinionAgent(int I);
  bool restartWorkerAgent(int I);
  bool restartWorker(int I);
  bool restartMinion(int I);

  /// Sends a control request to a stand-in; returns whether it succeeded.
  static bool sendControl(const std::string &Address, const std::string &Path);
  bool controlStore(const std::string &Path);
  bool controlMinionAgentProxy(int I, const std::string &Path);
  bool controlEntryProxy(int I, const std::string &Path);
  bool controlStoreProxy(const std::string &Path);

  /// Starts or ends a network partition between the daemons with odd numbers on
  /// one side and those with even numbers and the store on the other. Needs all
  /// proxies.
  bool partitionRegions(bool Partitioned);

  /// Returns the current HTTP address of an entry. Thread-safe.
  std::string entryHttpAddress(int I) const;
  /// Sends a request over \p Client, which may keep its connection.
  static CallResult request(HttpClient &Client, const std::string &Body,
                            bool Idempotent, const std::string &Key,
                            int DeadlineMs,
                            const std::string &Token = CallerToken);
  /// Sends a request through one entry, over a connection of its own.
  CallResult request(int Entry, const std::string &Body, bool Idempotent,
                     const std::string &Key = {}, int DeadlineMs = 5000,
                     const std::string &Token = CallerToken);
  /// Makes a call to the HTTP API of one entry.
  CallResult call(int Entry, const std::string &Method, const std::string &Path,
                  const std::string &Body,
                  const std::string &Token = OperatorToken,
                  const std::string &Key = {}, int TimeoutMs = 15000);

  /// Submits a job. Returns its id, or an empty string when it was not
  /// accepted.
  std::string submit(int Entry, const std::string &Spec,
                     const std::string &Key = {});
  /// Returns the record of a job, or an empty one when it cannot be read.
  wire::JobRecord job(int Entry, const std::string &Id);
  /// Waits at most \p Seconds until a job is in \p State.
  bool waitForJob(int Entry, const std::string &Id, wire::JobState State,
                  double Seconds = 40);

  /// Applies the base configuration on top of version \p BaseVersion.
  /// \p WorkspaceExtra is appended to the settings of the workspace "other".
  CallResult apply(int Entry, std::uint64_t BaseVersion,
                   const std::string &WorkspaceExtra,
                   const std::string &ChangeId);
  /// Returns the state dump of the process at an HTTP address, or null.
  Poco::JSON::Object::Ptr state(const std::string &HttpAddress);
  /// Returns the index of the entry that is the active coordinator, or -1.
  int coordinator();
  /// Returns the lowest configuration version of the running daemons; zero when
  /// one of them does not respond.
  std::uint64_t lowestVersion();

  /// Polls \p Condition at most \p Seconds; returns whether it became true.
  static bool waitFor(const std::function<bool()> &Condition,
                      double Seconds = 30);

  /// Returns the lines of a stand-in's journal with \p Event.
  std::vector<std::string> journal(const std::string &Name,
                                   const std::string &Event) const;
  /// Returns the whole journal of a stand-in.
  std::vector<std::string> journal(const std::string &Name) const;
  /// Returns the "run" lines of the journals of all minions.
  std::vector<std::string> minionRuns() const;

  std::string folder() const { return Folder; }
  std::string log(const std::string &Name) const;

private:
  bool startAll();
  bool startEntry(int I);
  bool startAgent(const std::string &Name, const std::string &Kind, int I,
                  const std::string &Target, Process &Agent);
  /// Returns the daemons with even numbers (0) or with odd numbers (1).
  std::vector<const Process *> regionProcesses(int Odd) const;
  /// Returns the proxy of an agent, or null when it has none.
  const Process *agentProxy(const std::string &Kind, int I) const;
  std::string configurationText(const std::string &Extra) const;
  std::string programPath(const std::string &Name) const;
  /// Returns the RPC addresses of the entries started so far, as a YAML list.
  std::string entryAddressList() const;

  const DeploymentOptions Options;
  std::string Folder;
  std::string StoreAddress;
  std::unique_ptr<Process> Store;
  std::unique_ptr<Process> StoreProxy;
  std::vector<std::unique_ptr<Process>> Entries;
  std::vector<std::unique_ptr<Process>> Minions;
  std::vector<std::unique_ptr<Process>> MinionAgents;
  std::vector<std::unique_ptr<Process>> Workers;
  std::vector<std::unique_ptr<Process>> WorkerAgents;
  std::vector<std::unique_ptr<Process>> MinionAgentProxies;
  std::vector<std::unique_ptr<Process>> WorkerAgentProxies;
  std::vector<std::unique_ptr<Process>> EntryProxies;
  /// Guards the addresses, which callers and starting agents read while entries
  /// restart.
  mutable std::mutex AddressMutex;
  std::vector<std::string> EntryRpcAddresses;
  std::vector<std::string> EntryHttpAddresses;
  bool Ready = false;
};

/// Returns the names that are in more than one of the "run" lines of journals.
std::vector<std::string>
findDuplicateRuns(const std::vector<std::string> &RunLines);

} // namespace baobabcove::testing

#endif // BAOBABCOVE_TESTS_SUPPORT_DEPLOYMENT_H
