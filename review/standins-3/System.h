#ifndef BAOBABCOVE_REVIEW_STANDINS_3_SYSTEM_H
#define BAOBABCOVE_REVIEW_STANDINS_3_SYSTEM_H

#include "Record.h"
#include "Store.h"
#include "Worker.h"

#include "base/HttpClient.h"

#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include <sys/types.h>

namespace baobabcove::review {

/// A process of the system, started with a command of the deploy file.
class Daemon {
public:
  Daemon(std::string Command, std::filesystem::path Settings,
         const std::string &Text);
  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;
  ~Daemon();

  void start();
  void kill();
  void signal(int Number) const;
  bool isRunning();

private:
  const std::string Command;
  const std::filesystem::path Settings;
  pid_t Id = -1;
};

/// Commands of the deploy file and folders of a case.
struct CaseFiles {
  std::string EntryCommand;
  std::string AgentCommand;
  std::filesystem::path Temporary;
};

/// The answer to a client's call; status zero without one.
struct ClientAnswer {
  int Status = 0;
  std::string Body;
};

/// Entries, agents, a store and a worker beside each agent, on loopback
/// addresses of their own.
class System {
public:
  System(Record &Events, const CaseFiles &Files, std::size_t Entries,
         std::size_t Agents);
  ~System();

  /// Starts all processes and workers with the configuration \p Config. Returns
  /// false if an address is in use or the system does not get ready.
  bool start(const std::string &Config);

  /// Makes a client's call at an entry.
  ClientAnswer call(std::size_t Entry, const std::string &Method,
                    const std::string &Path, const std::string &Body = "",
                    const std::string &Key = "");

  Store Kv;
  RunLedger Ledger;
  std::vector<std::unique_ptr<Daemon>> Entries;
  std::vector<std::unique_ptr<Daemon>> Agents;
  std::vector<std::unique_ptr<Worker>> Workers;

private:
  bool findNetwork();
  std::string entryIp(std::size_t N) const;
  std::string agentIp(std::size_t N) const;
  std::string settings(const std::string &Node, const std::string &Ip,
                       bool IsEntry) const;

  Record &Events;
  const CaseFiles Files;
  const std::size_t EntryCount;
  const std::size_t AgentCount;
  std::string Network;
};

/// The route of the jobs of a case, with its key.
std::string configText(int Version, const std::vector<std::string> &Keys,
                       int MaxAttempts, bool Anonymous = false);
/// Returns a body with one step of equal tasks.
std::string jobText(const Work &Task, std::size_t Count);
/// Returns the id of job \p N of a case.
std::string jobId(std::size_t N);
/// The path prefix of the route.
extern const std::string Prefix;

} // namespace baobabcove::review

#endif // BAOBABCOVE_REVIEW_STANDINS_3_SYSTEM_H
