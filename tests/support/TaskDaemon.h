#ifndef BAOBABCOVE_TESTS_SUPPORT_TASKDAEMON_H
#define BAOBABCOVE_TESTS_SUPPORT_TASKDAEMON_H

#include "baobabcove/Clock.h"

#include <atomic>
#include <csignal>
#include <string>

#include <sys/types.h>

namespace baobabcove::testing {

/// Returns a loopback address of this test process alone, so that tests that
/// run at the same time do not share the ports of their daemons. The first
/// octet after 127 is \p Network plus the highest bits of the process id.
std::string ownAddress(unsigned Network);

/// A task daemon with its settings in a temporary file. It uses the ports 8080
/// (clients), 8081 (readiness), 8082 (control) and 8090 to 8099 of its address,
/// which are below the range from which the kernel chooses.
class TaskDaemon {
public:
  /// Starts \p Program. \p More is appended to its settings.
  TaskDaemon(const std::string &Program, const std::string &Ip, long MemoryMb,
             const std::string &Store, const std::string &More = "");
  TaskDaemon(const TaskDaemon &) = delete;
  TaskDaemon &operator=(const TaskDaemon &) = delete;
  /// Kills the process and removes its files.
  ~TaskDaemon();

  /// Starts the process again after it was killed or has exited.
  void start();
  void signal(int Number) const;
  /// Kills the process and waits for its end.
  void kill();
  /// Requests a stop and kills the process if it has not exited in time.
  void stop();

  /// Returns a number from the process's status in /proc.
  long status(const std::string &Name) const;
  /// Returns when the process was last started, sent a signal, or ended.
  Instant disturbedAt() const { return DisturbedAt; }
  const std::string &ip() const { return Ip; }
  std::string logPath() const { return Path + ".log"; }

private:
  const std::string Program;
  const std::string Ip;
  const std::string Path;
  pid_t Id = -1;
  mutable std::atomic<Instant> DisturbedAt{};
};

} // namespace baobabcove::testing

#endif // BAOBABCOVE_TESTS_SUPPORT_TASKDAEMON_H
