#include "http/Connection.h"

#include <algorithm>

#include <sys/epoll.h>
#include <unistd.h>

namespace baobabcove {

namespace {

/// Time that a client has to read the last response before the connection is
/// closed.
constexpr Milliseconds ClosingTimeout{2000};
constexpr std::int64_t MsPerSecond = 1000;

/// Returns the time that \p Bytes take at the lowest rate.
Milliseconds timeFor(std::size_t Bytes, const HttpLimits &Limits) {
  return Milliseconds(static_cast<std::int64_t>(Bytes) * MsPerSecond /
                      static_cast<std::int64_t>(
                          std::max<std::size_t>(1, Limits.BytesPerSecond)));
}

} // namespace

void Connection::park(int Epoll, std::uint32_t Events) {
  // Under the lock, so that no thread closes the socket before it is watched.
  const std::lock_guard<std::mutex> Lock(Mutex);
  Parked = true;
  if (Events == 0)
    return;
  epoll_event Event{};
  Event.events = Events | EPOLLONESHOT;
  Event.data.u64 = Id;
  (void)::epoll_ctl(Epoll, EPOLL_CTL_MOD, Socket, &Event);
}

void Connection::enter(ConnectionPhase Next, Instant Now) {
  Phase = Next;
  PhaseSince = Now;
  PhaseBytes = 0;
}

void Connection::close() {
  if (Socket >= 0)
    ::close(Socket);
  Socket = -1;
  Held.resize(0);
}

PhaseDeadline deadlineOf(const Connection &Client, const HttpLimits &Limits) {
  switch (Client.Phase) {
  case ConnectionPhase::New:
    return {Client.PhaseSince + Limits.ReceiveTimeout, "silent"};
  case ConnectionPhase::Header:
    return {Client.PhaseSince + Limits.ReceiveTimeout, "slow_header"};
  case ConnectionPhase::Body:
    return {Client.PhaseSince + Limits.ReceiveTimeout +
                timeFor(Client.PhaseBytes, Limits),
            "slow_body"};
  case ConnectionPhase::Queued:
    return {Client.PhaseSince + Limits.QueueTimeout, "queue_timeout"};
  case ConnectionPhase::Responding:
    return {Client.PhaseSince + Limits.ResponseTimeout +
                timeFor(Client.PhaseBytes, Limits),
            "slow_reader"};
  case ConnectionPhase::Idle:
    return {Client.PhaseSince + Limits.IdleTimeout, "idle"};
  case ConnectionPhase::Closing:
    return {Client.PhaseSince + ClosingTimeout, "closed"};
  case ConnectionPhase::Handling:
    break;
  }
  return {Instant::max(), ""};
}

} // namespace baobabcove
