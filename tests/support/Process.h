#ifndef BAOBABCOVE_TESTS_SUPPORT_PROCESS_H
#define BAOBABCOVE_TESTS_SUPPORT_PROCESS_H

#include <map>
#include <string>
#include <vector>

#include <sys/types.h>

namespace baobabcove::testing {

/// A process of a test deployment. It is killed by the destructor, and also
/// when the thread that started it ends.
class Process {
public:
  Process() = default;
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;
  ~Process() { kill(); }

  /// Starts a program with its standard error appended to \p LogPath, and waits
  /// until it prints its "ready" line. Returns false when it does not print it
  /// in time.
  bool start(const std::vector<std::string> &Command,
             const std::string &LogPath);

  /// Returns the value of a key of the ready line. Throws std::out_of_range for
  /// an unknown key.
  const std::string &value(const std::string &Key) const;

  /// Kills the process and waits for its end.
  void kill();
  /// Suspends the process with SIGSTOP.
  void pause() const;
  /// Continues a suspended process.
  void resume() const;
  /// Requests a graceful shutdown with SIGTERM.
  void terminate() const;
  /// Asks a daemon with SIGHUP to read its settings again.
  void reload() const;
  /// Asks a daemon with SIGUSR1 to log its state.
  void logState() const;
  /// Waits at most \p Seconds until the process has exited; returns whether it
  /// has.
  bool waitForExit(double Seconds);
  bool running() const { return Id > 0; }
  std::string id() const { return std::to_string(Id); }

private:
  void signal(int Number) const;

  pid_t Id = -1;
  std::map<std::string, std::string> Values;
};

} // namespace baobabcove::testing

#endif // BAOBABCOVE_TESTS_SUPPORT_PROCESS_H
