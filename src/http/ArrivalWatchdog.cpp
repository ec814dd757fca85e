#include "http/ArrivalWatchdog.h"

#include <Poco/Exception.h>

namespace baobabcove {

namespace {

constexpr Milliseconds LookPeriod{50};

void cutOff(Poco::Net::StreamSocket &Socket) {
  try {
    Socket.shutdown();
  } catch (const Poco::Exception &) {
    // The other end has gone already; its thread is free by that.
  }
}

} // namespace

ArrivalWatchdog::ArrivalWatchdog() : Thread([this] { run(); }) {}

ArrivalWatchdog::~ArrivalWatchdog() {
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Stopping = true;
  }
  Changed.notify_all();
  Thread.join();
}

std::uint64_t ArrivalWatchdog::watch(const Poco::Net::StreamSocket &Socket,
                                     Instant Deadline) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  Sockets.emplace(Next, Watched{Socket, Deadline});
  return Next++;
}

bool ArrivalWatchdog::release(std::uint64_t Number) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Sockets.erase(Number) != 0;
}

void ArrivalWatchdog::run() {
  std::unique_lock<std::mutex> Lock(Mutex);
  while (!Stopping) {
    Changed.wait_for(Lock, LookPeriod);
    const Instant Now = monotonicNow();
    for (auto It = Sockets.begin(); It != Sockets.end();) {
      if (It->second.Deadline > Now) {
        ++It;
        continue;
      }
      cutOff(It->second.Socket);
      It = Sockets.erase(It);
    }
  }
}

} // namespace baobabcove
