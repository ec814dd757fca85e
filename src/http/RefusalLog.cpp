#include "http/RefusalLog.h"

#include "base/Log.h"
#include "base/LogFields.h"

#include <algorithm>

namespace baobabcove {

namespace {

/// One line per cause in this time names the address with the most refusals.
constexpr Milliseconds LogPeriod{1000};
/// Addresses counted between two lines.
constexpr std::size_t MaxPeers = 256;

} // namespace

void RefusalLog::add(const std::string &Cause, const std::string &Peer) {
  if (Stats)
    Stats->count(Server + "_refused_" + Cause);
  const Instant Now = monotonicNow();
  std::string Busiest;
  std::size_t Most = 0;
  std::size_t Total = 0;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Recent &Counts = RecentByCause[Cause];
    if (Counts.CountByPeer.size() < MaxPeers || Counts.CountByPeer.count(Peer))
      ++Counts.CountByPeer[Peer];
    if (Counts.LoggedAt != Instant::min() && Now < Counts.LoggedAt + LogPeriod)
      return;
    for (const auto &[Address, Count] : Counts.CountByPeer) {
      Total += Count;
      if (Count > Most) {
        Most = Count;
        Busiest = Address;
      }
    }
    Counts.CountByPeer.clear();
    Counts.LoggedAt = Now;
  }
  LOG4CPLUS_WARN(logOf("http"), LogFields("clients refused")
                                    .add("server", Server)
                                    .add("cause", Cause)
                                    .add("count", Total)
                                    .add("busiest_peer", Busiest)
                                    .add("of_busiest_peer", Most));
}

} // namespace baobabcove
