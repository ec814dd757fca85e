#ifndef BAOBABCOVE_HTTP_RECEIVEWATCHDOG_H
#define BAOBABCOVE_HTTP_RECEIVEWATCHDOG_H

#include "baobabcove/Clock.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <thread>

#include <Poco/Net/StreamSocket.h>

namespace baobabcove {

/// Shuts down sockets on which a request is not received before its deadline,
/// from one background thread. A read blocked on such a socket returns
/// immediately and frees its thread.
class ReceiveWatchdog {
public:
  ReceiveWatchdog();
  ~ReceiveWatchdog();

  /// Shuts \p Socket down at \p Deadline unless the watch is released before.
  /// Returns the id of the watch.
  std::uint64_t watch(const Poco::Net::StreamSocket &Socket, Instant Deadline);
  /// Ends a watch. Returns false when the socket has already been shut down.
  bool release(std::uint64_t Id);

private:
  struct Watched {
    Poco::Net::StreamSocket Socket;
    Instant Deadline;
  };
  void run();

  std::mutex Mutex;
  std::condition_variable Wake;
  std::map<std::uint64_t, Watched> Sockets;
  std::uint64_t NextId = 1;
  bool Stopping = false;
  std::thread Thread;
};

} // namespace baobabcove

#endif // BAOBABCOVE_HTTP_RECEIVEWATCHDOG_H
