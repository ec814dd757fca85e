#ifndef BAOBABCOVE_REVIEW_STANDINS_RECORD_H
#define BAOBABCOVE_REVIEW_STANDINS_RECORD_H

#include <cstdint>
#include <string>

namespace baobabcove::review {

/// Returns the milliseconds since the Unix epoch.
std::int64_t unixMs();

/// Appends lines "TIME SOURCE TEXT" to a file that several processes share.
class Record {
public:
  /// An empty \p Path records nothing.
  Record(const std::string &Path, std::string Source);
  ~Record();
  Record(const Record &) = delete;
  Record &operator=(const Record &) = delete;

  void write(const std::string &Text) const;

private:
  int File = -1;
  std::string Source;
};

} // namespace baobabcove::review

#endif // BAOBABCOVE_REVIEW_STANDINS_RECORD_H
