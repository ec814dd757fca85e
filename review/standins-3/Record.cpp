#include "Record.h"

namespace baobabcove::review {

Record::Record(const std::string &Path)
    : Out(Path), StartedAt(monotonicNow()) {}

void Record::note(const std::string &Line) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  Out << elapsed().count() << " ms  " << Line << std::endl;
}

} // namespace baobabcove::review
