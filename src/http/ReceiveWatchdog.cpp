#include "http/ReceiveWatchdog.h"

#include <Poco/Exception.h>

namespace baobabcove {

namespace {

constexpr Milliseconds PollPeriod{50};

void shutdownSocket(Poco::Net::StreamSocket &Socket) {
  try {
    Socket.shutdown();
  } catch (const Poco::Exception &) {
    // The peer has already closed the connection, which also ends the read.
  }
}

} // namespace

ReceiveWatchdog::ReceiveWatchdog() : Thread([this] { run(); }) {}

ReceiveWatchdog::~ReceiveWatchdog() {
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Stopping = true;
  }
  Wake.notify_all();
  Thread.join();
}

std::uint64_t ReceiveWatchdog::watch(const Poco::Net::StreamSocket &Socket,
                                     Instant Deadline) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  Sockets.emplace(NextId, Watched{Socket, Deadline});
  return NextId++;
}

bool ReceiveWatchdog::release(std::uint64_t Id) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Sockets.erase(Id) != 0;
}

void ReceiveWatchdog::run() {
  std::unique_lock<std::mutex> Lock(Mutex);
  while (!Stopping) {
    Wake.wait_for(Lock, PollPeriod);
    const Instant Now = monotonicNow();
    for (auto It = Sockets.begin(); It != Sockets.end();) {
      if (It->second.Deadline > Now) {
        ++It;
        continue;
      }
      shutdownSocket(It->second.Socket);
      It = Sockets.erase(It);
    }
  }
}

} // namespace baobabcove
