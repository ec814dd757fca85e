/// \file
/// A small deployment of real processes with stand-ins and faults.

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

/// How a deployment is built.
struct DeploymentPlan {
  int Entries = 2;
  int Minions = 0;
  int Workers = 0;
  /// Puts a proxy between the agents and each minion's callers, that is, in
  /// front of each agent's address for calls.
  bool ProxyAgents = false;
  /// The same for the agents of workers.
  bool ProxyWorkers = false;
  /// Puts a proxy in front of each entry's address for calls.
  bool ProxyEntries = false;
  /// Puts a proxy in front of the store.
  bool ProxyStore = false;
  int MinionWorkMs = 5;
  /// More settings of every entry and every agent, as YAML lines.
  std::string EntrySettings;
  std::string AgentSettings;
};

/// A caller's answer together with what it says of the outcome.
struct CallResult {
  int Status = 0;
  std::string Body;
  /// "answered", "not run", "unknown", or empty when no answer came.
  std::string Outcome;
};

/// Starts the processes, applies a configuration, and offers the calls that
/// tests need. Every wait is for a condition, with a generous limit.
class Deployment {
public:
  explicit Deployment(const DeploymentPlan &Plan);
  ~Deployment();

  static constexpr const char *OperatorToken = "test-operator";
  static constexpr const char *CallerToken = "test-caller";
  static constexpr const char *OtherToken = "test-other";
  static constexpr const char *Service = "bench-planner";

  bool ready() const { return Ready; }

  Process &store() { return *Store; }
  Process &entry(int I) { return *Entries[I]; }
  Process &minion(int I) { return *Minions[I]; }
  Process &minionAgent(int I) { return *MinionAgents[I]; }
  Process &worker(int I) { return *Workers[I]; }
  Process &workerAgent(int I) { return *WorkerAgents[I]; }

  /// Starts a process again under its old name, with new addresses.
  bool restartEntry(int I);
  bool restartMinionAgent(int I);
  bool restartWorkerAgent(int I);
  bool restartWorker(int I);
  bool restartMinion(int I);

  /// Orders a fault of a stand-in by its control address and path.
  static bool order(const std::string &Address, const std::string &Path);
  bool orderStore(const std::string &Path);
  bool orderAgentProxy(int I, const std::string &Path);
  bool orderEntryProxy(int I, const std::string &Path);
  bool orderStoreProxy(const std::string &Path);

  /// Cuts processes of odd number, with their region, from those of even
  /// number and from the store, or heals the cut. It needs every proxy.
  bool cutRegions(bool Cut);

  /// Sends a request through one entry.
  CallResult request(int Entry, const std::string &Body, bool Idempotent,
                     const std::string &Key = {}, int DeadlineMs = 5000,
                     const std::string &Token = CallerToken);
  /// Makes any call to one entry.
  CallResult call(int Entry, const std::string &Method, const std::string &Path,
                  const std::string &Body,
                  const std::string &Token = OperatorToken,
                  const std::string &Key = {}, int PatienceMs = 15000);

  /// Submits a job and returns its id, or an empty text.
  std::string submit(int Entry, const std::string &Spec,
                     const std::string &Key = {});
  wire::JobRecord job(int Entry, const std::string &Id);
  /// Waits until the job is in the state, at most \p Seconds.
  bool waitJob(int Entry, const std::string &Id, wire::JobState State,
               double Seconds = 40);

  /// Applies files given as name and content; returns the answer.
  CallResult apply(int Entry, std::uint64_t BaseVersion,
                   const std::string &WorkspaceExtra,
                   const std::string &ChangeId);
  /// The state dump of a process at an HTTP address, or null.
  Poco::JSON::Object::Ptr state(const std::string &HttpAddress);
  /// The index of the entry that holds the coordinator's role, or -1.
  int coordinator();
  /// Configuration version of every process, the least of them.
  std::uint64_t leastVersion();

  /// Waits for a condition; returns whether it came true in time.
  static bool waitFor(const std::function<bool()> &Condition,
                      double Seconds = 30);

  /// Lines of a stand-in's journal that are of \p Event.
  std::vector<std::string> journal(const std::string &Name,
                                   const std::string &Event) const;
  /// The whole journal of a stand-in.
  std::vector<std::string> journal(const std::string &Name) const;
  /// All journals of minions, or of workers.
  std::vector<std::string> minionRuns() const;

  std::string folder() const { return Folder; }
  std::string log(const std::string &Name) const;

private:
  bool startAll();
  bool startEntry(int I);
  bool startAgent(const std::string &Name, const std::string &Kind, int I,
                  const std::string &Target, Process &Agent);
  std::vector<const Process *> region(int Odd) const;
  const Process *proxyOf(const std::string &Kind, int I) const;
  std::string baseFiles(const std::string &Extra) const;
  std::string program(const std::string &Name) const;
  std::string seeds() const;
  std::string entryHttp(int I) const;

  const DeploymentPlan Plan;
  std::string Folder;
  std::string StoreAddress;
  std::unique_ptr<Process> Store;
  std::unique_ptr<Process> StoreProxy;
  std::vector<std::unique_ptr<Process>> Entries;
  std::vector<std::unique_ptr<Process>> Minions;
  std::vector<std::unique_ptr<Process>> MinionAgents;
  std::vector<std::unique_ptr<Process>> Workers;
  std::vector<std::unique_ptr<Process>> WorkerAgents;
  std::vector<std::unique_ptr<Process>> AgentProxies;
  std::vector<std::unique_ptr<Process>> WorkerProxies;
  std::vector<std::unique_ptr<Process>> EntryProxies;
  std::vector<std::string> EntryRpc;
  /// Callers go on while entries are started again.
  mutable std::mutex AddressMutex;
  std::vector<std::string> EntryHttp;
  bool Ready = false;
};

/// Checks journals against the rule that each name runs at most once; returns
/// the names that ran more often.
std::vector<std::string> ranTwice(const std::vector<std::string> &RunLines);

} // namespace baobabcove::testing

#endif // BAOBABCOVE_TESTS_SUPPORT_DEPLOYMENT_H
