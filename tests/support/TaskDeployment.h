#ifndef BAOBABCOVE_TESTS_SUPPORT_TASKDEPLOYMENT_H
#define BAOBABCOVE_TESTS_SUPPORT_TASKDEPLOYMENT_H

#include "KvServer.h"
#include "TaskDaemon.h"
#include "WorkerFleet.h"

#include "base/HttpClient.h"

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <Poco/Net/ServerSocket.h>

namespace baobabcove::testing {

/// Attempts of the queues in which jobs often fail with cause.
constexpr int FewTaskAttempts[] = {2, 3};

/// Returns the prefix of the queue that allows \p Few attempts, or of the main
/// queue if it is zero.
std::string queuePrefix(int Few = 0);

/// The queue that admits no call without a key; the others admit all of those.
inline const std::string KeyedQueuePrefix = "/keyed/";
/// A key that every configuration holds.
constexpr const char *KeptKey = "kept-key";

/// Returns the id of a job, of 16 hexadecimal digits.
std::string jobIdText(std::uint64_t Number);

/// Returns a call of \p Method to the job \p Id in a queue of TaskDeployment.
HttpCall jobCall(const std::string &Method, const std::string &Id,
                 const std::string &Body = "",
                 const std::string &Prefix = queuePrefix());

/// Loopback addresses that no other test process uses at the same time.
class LoopbackNetwork {
public:
  /// \p First is the second octet; the highest bits of the process id are
  /// added.
  explicit LoopbackNetwork(unsigned First);
  /// Returns the address of process \p N, which is below 253.
  std::string address(std::size_t N) const;

private:
  std::string Prefix;
  std::string Third;
  /// Listens on an address of the network as long as it is in use.
  Poco::Net::ServerSocket Claim;
};

/// Entries and agents as real processes, with a store and a worker beside each
/// agent. The entries serve a main queue, one for each of FewTaskAttempts, and
/// a keyed one.
class TaskDeployment {
public:
  /// The main queue allows \p MaxAttempts runs of a task to fail.
  TaskDeployment(std::size_t EntryCount, std::size_t AgentCount,
                 unsigned Seed = 1, int MaxAttempts = MaxTaskAttempts);

  /// Writes a configuration whose version is \p Step higher, with the queues
  /// and \p MoreRoutes others. Thread-safe.
  void changeConfig(int Step, int MoreRoutes);
  /// Writes a configuration in which another key takes the place of the last
  /// one. Thread-safe.
  void replaceKey();
  /// Returns the keys, in order, whose withdrawal was acknowledged before \p
  /// Time. Thread-safe.
  std::vector<std::string> keysWithdrawnBefore(Instant Time) const;

  /// Returns a client of each entry, whose connections stay open.
  std::vector<std::unique_ptr<HttpClient>> clients() const;

  /// Whether an entry, and its way to the store, were not disturbed for the
  /// users' contact time before \p Time, nor since then.
  bool isInTouch(std::size_t Entry, Instant Time) const;

  KvServer Store;
  std::vector<std::unique_ptr<TaskDaemon>> Agents;
  std::vector<std::unique_ptr<TaskDaemon>> Entries;
  std::unique_ptr<WorkerFleet> Fleet;
  /// Number of the first entry's address at the store.
  std::size_t FirstEntryDoor = 0;

private:
  const int MaxAttempts;
  const LoopbackNetwork AgentAddresses;
  const LoopbackNetwork EntryAddresses;
  struct WithdrawnKey {
    std::string Key;
    Instant At{};
  };
  /// The mutex must be locked.
  void writeConfig(int Step, int MoreRoutes);
  std::string changingKey() const {
    return "key-" + std::to_string(WithdrawnKeys.size());
  }

  mutable std::mutex ConfigMutex;
  int ConfigVersion = 0;
  std::vector<WithdrawnKey> WithdrawnKeys;
};

/// Copies the logs of all processes and the events of the workers to the folder
/// in TASK_SOAK_LOGS, if set.
void keepLogs(const TaskDeployment &System, const std::string &Name);

} // namespace baobabcove::testing

#endif // BAOBABCOVE_TESTS_SUPPORT_TASKDEPLOYMENT_H
