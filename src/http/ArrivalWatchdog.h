/// \file
/// Cuts off connections whose request does not arrive in time.

#ifndef BAOBABCOVE_HTTP_ARRIVALWATCHDOG_H
#define BAOBABCOVE_HTTP_ARRIVALWATCHDOG_H

#include "baobabcove/Clock.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <thread>

#include <Poco/Net/StreamSocket.h>

namespace baobabcove {

/// One thread that shuts down sockets past their deadline. A read that waits
/// on such a socket ends at once, so that its thread is free again.
class ArrivalWatchdog {
public:
  ArrivalWatchdog();
  ~ArrivalWatchdog();

  /// Watches \p Socket until \p Deadline; returns the watch's number.
  std::uint64_t watch(const Poco::Net::StreamSocket &Socket, Instant Deadline);
  /// Ends a watch. Returns false when the socket was cut off before.
  bool release(std::uint64_t Number);

private:
  struct Watched {
    Poco::Net::StreamSocket Socket;
    Instant Deadline;
  };
  void run();

  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::uint64_t, Watched> Sockets;
  std::uint64_t Next = 1;
  bool Stopping = false;
  std::thread Thread;
};

} // namespace baobabcove

#endif // BAOBABCOVE_HTTP_ARRIVALWATCHDOG_H
