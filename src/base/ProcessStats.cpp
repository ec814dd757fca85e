#include "base/ProcessStats.h"

#include <fstream>
#include <string>

#include <sys/resource.h>

namespace baobabcove {

namespace {

std::int64_t toMs(const timeval &Time) {
  return std::int64_t(Time.tv_sec) * 1000 + Time.tv_usec / 1000;
}

/// Returns the number after \p Key in /proc/self/status; 0 when it is absent.
std::int64_t statusValue(const std::string &Key) {
  std::ifstream In("/proc/self/status");
  std::string Word;
  while (In >> Word) {
    if (Word != Key)
      continue;
    std::int64_t Value = 0;
    In >> Value;
    return Value;
  }
  return 0;
}

} // namespace

Poco::JSON::Object::Ptr processStats() {
  rusage Usage{};
  getrusage(RUSAGE_SELF, &Usage);
  Poco::JSON::Object::Ptr Out = new Poco::JSON::Object;
  Out->set("processor_ms", toMs(Usage.ru_utime) + toMs(Usage.ru_stime));
  Out->set("resident_kib", statusValue("VmRSS:"));
  Out->set("threads", statusValue("Threads:"));
  return Out;
}

} // namespace baobabcove
