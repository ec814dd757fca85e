#ifndef BAOBABCOVE_REVIEW_STANDINS_3_RECORD_H
#define BAOBABCOVE_REVIEW_STANDINS_3_RECORD_H

#include "baobabcove/Clock.h"

#include <fstream>
#include <mutex>
#include <string>

namespace baobabcove::review {

/// The record of a case: what was sent, answered and run, one line each with
/// the milliseconds since the start. Thread-safe.
class Record {
public:
  explicit Record(const std::string &Path);

  void note(const std::string &Line);
  /// Returns the time since the start.
  Milliseconds elapsed() const { return monotonicNow() - StartedAt; }

private:
  std::mutex Mutex;
  std::ofstream Out;
  const Instant StartedAt;
};

} // namespace baobabcove::review

#endif // BAOBABCOVE_REVIEW_STANDINS_3_RECORD_H
