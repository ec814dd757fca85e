#include "Record.h"

#include <chrono>
#include <utility>

#include <fcntl.h>
#include <unistd.h>

namespace baobabcove::review {

std::int64_t unixMs() {
  const auto Now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(Now).count();
}

Record::Record(const std::string &Path, std::string Source)
    : Source(std::move(Source)) {
  constexpr int Mode = 0644;
  if (!Path.empty())
    File =
        ::open(Path.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, Mode);
}

Record::~Record() {
  if (File >= 0)
    ::close(File);
}

void Record::write(const std::string &Text) const {
  const std::string Line =
      std::to_string(unixMs()) + " " + Source + " " + Text + "\n";
  // One write, so that lines of several processes do not mix. A line that
  // cannot be written is missing from the record, which the check notices.
  if (File >= 0)
    (void)!::write(File, Line.data(), Line.size());
}

} // namespace baobabcove::review
