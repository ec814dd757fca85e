/// \file
/// A process of a test deployment.

#ifndef BAOBABCOVE_TESTS_SUPPORT_PROCESS_H
#define BAOBABCOVE_TESTS_SUPPORT_PROCESS_H

#include <map>
#include <string>
#include <vector>

#include <sys/types.h>

namespace baobabcove::testing {

/// Starts a program, reads the values of its "ready" line, and ends it with
/// the test. Its log goes to a file.
class Process {
public:
  Process() = default;
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;
  ~Process() { kill(); }

  /// Starts the program and waits until it is ready; returns whether it is.
  bool start(const std::vector<std::string> &Command,
             const std::string &LogPath);

  /// The value of a key of the ready line.
  const std::string &value(const std::string &Key) const;

  void kill();
  void freeze() const;
  void thaw() const;
  /// Asks for graceful shutdown.
  void terminate() const;
  /// Waits until the process has ended, at most \p Seconds.
  bool waitEnd(double Seconds);
  bool running() const { return Id > 0; }
  std::string id() const { return std::to_string(Id); }

private:
  pid_t Id = -1;
  std::map<std::string, std::string> Values;
};

} // namespace baobabcove::testing

#endif // BAOBABCOVE_TESTS_SUPPORT_PROCESS_H
