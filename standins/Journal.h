/// \file
/// The journal of what a stand-in ran, a line for each event, kept in a file
/// so that it outlives the process.

#ifndef BAOBABCOVE_STANDINS_JOURNAL_H
#define BAOBABCOVE_STANDINS_JOURNAL_H

#include "baobabcove/Clock.h"

#include <fstream>
#include <mutex>
#include <string>

namespace baobabcove::standins {

/// Appends "time-ms event name detail" lines. Thread-safe.
class Journal {
public:
  explicit Journal(const std::string &Path) {
    if (!Path.empty())
      Out.open(Path, std::ios::app);
  }

  void write(const std::string &Event, const std::string &Name,
             const std::string &Detail) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (Out.is_open())
      Out << monotonicNow().time_since_epoch().count() << ' ' << Event << ' '
          << Name << ' ' << Detail << std::endl;
  }

private:
  std::mutex Mutex;
  std::ofstream Out;
};

} // namespace baobabcove::standins

#endif // BAOBABCOVE_STANDINS_JOURNAL_H
