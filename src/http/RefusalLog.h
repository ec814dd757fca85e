#ifndef BAOBABCOVE_HTTP_REFUSALLOG_H
#define BAOBABCOVE_HTTP_REFUSALLOG_H

#include "baobabcove/Clock.h"
#include "base/Metrics.h"

#include <map>
#include <mutex>
#include <string>

namespace baobabcove {

/// Counts the clients that a server refused or disconnected, by cause, and logs
/// their addresses at a limited rate. Thread-safe.
class RefusalLog {
public:
  /// \p Stats may be null.
  RefusalLog(std::string Server, Metrics *Stats)
      : Server(std::move(Server)), Stats(Stats) {}

  void add(const std::string &Cause, const std::string &Peer);

private:
  struct Recent {
    std::map<std::string, std::size_t> CountByPeer;
    Instant LoggedAt = Instant::min();
  };

  const std::string Server;
  Metrics *const Stats;
  std::mutex Mutex;
  std::map<std::string, Recent> RecentByCause;
};

} // namespace baobabcove

#endif // BAOBABCOVE_HTTP_REFUSALLOG_H
