#ifndef BAOBABCOVE_STANDINS_EVENTJOURNAL_H
#define BAOBABCOVE_STANDINS_EVENTJOURNAL_H

#include "baobabcove/Clock.h"

#include <fstream>
#include <mutex>
#include <string>

namespace baobabcove::standins {

/// Appends a line "time-ms event name detail" to a file for each thing that a
/// stand-in ran. Tests read the file, also after the process was killed. An
/// empty path disables the journal. Thread-safe.
class EventJournal {
public:
  explicit EventJournal(const std::string &Path) {
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

#endif // BAOBABCOVE_STANDINS_EVENTJOURNAL_H
