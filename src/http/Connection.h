#ifndef BAOBABCOVE_HTTP_CONNECTION_H
#define BAOBABCOVE_HTTP_CONNECTION_H

#include "base/MemoryBudget.h"
#include "http/RequestReceiver.h"

#include <mutex>
#include <string>

namespace baobabcove {

/// What a connection of a server does at present.
enum class ConnectionPhase {
  /// Nothing has arrived since the connection was accepted.
  New,
  /// Part of a request's header has arrived.
  Header,
  /// The header and part of the body have arrived.
  Body,
  /// The request is complete and waits for a thread or for memory.
  Queued,
  /// The handler runs.
  Handling,
  /// The response is sent, or waits for the client to read.
  Responding,
  /// A request has been answered, and nothing of the next one has arrived.
  Idle,
  /// The last response has been sent; what still arrives is discarded.
  Closing
};

/// Socket and state of one client of a server. Except for its mutex and the
/// functions that lock it, it belongs to the thread that has taken it.
class Connection {
public:
  Connection(std::uint64_t Id, int Socket, std::string Peer,
             MemoryBudget &Budget, MemoryShare Share, Instant Now)
      : Id(Id), Socket(Socket), Peer(std::move(Peer)), Held(Budget, Share),
        PhaseSince(Now) {}
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;
  ~Connection() { close(); }

  /// Takes the connection unless another thread has it.
  bool take() {
    return takeIf([](const Connection &) { return true; });
  }
  /// Takes the connection unless another thread has it or \p Test, which is
  /// called with it under its lock, returns false.
  template <class Function> bool takeIf(Function Test) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (!Parked || !Test(*this))
      return false;
    Parked = false;
    return true;
  }
  /// Takes the connection if it is also in phase \p Wanted.
  bool takeIn(ConnectionPhase Wanted) {
    return takeIf(
        [&](const Connection &Taken) { return Taken.Phase == Wanted; });
  }
  /// Gives the connection back. \p Epoll reports the next of \p Events to the
  /// thread that should take it; zero when nothing of the client is awaited.
  void park(int Epoll, std::uint32_t Events);
  /// Whether a thread could take the connection. \p Inspect is called with the
  /// connection under its lock if so.
  template <class Function> bool ifParked(Function Inspect) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (!Parked)
      return false;
    Inspect(*this);
    return true;
  }

  /// Enters a phase, in which \p PhaseBytes counts from zero.
  void enter(ConnectionPhase Next, Instant Now);
  /// Closes the socket and releases all memory.
  void close();

  const std::uint64_t Id;
  int Socket;
  const std::string Peer;
  RequestReceiver Receiver;
  MemoryReservation Held;
  ConnectionPhase Phase = ConnectionPhase::New;
  Instant PhaseSince;
  /// Bytes of the body or response that the client has sent or read.
  std::size_t PhaseBytes = 0;
  /// Whether a request of this connection has been answered.
  bool HasServed = false;
  /// Requests answered since the connection last waited for events.
  std::size_t InTurn = 0;
  /// Memory reserved for the handler of the queued request.
  std::size_t HandlingBytes = 0;

  std::string ResponseHeader;
  std::string ResponseBody;
  std::size_t ResponseSent = 0;
  bool CloseAfterResponse = false;

private:
  std::mutex Mutex;
  bool Parked = false;
};

/// Deadlines of the phases. \p Cause is the name of the counter of connections
/// that miss the deadline.
struct PhaseDeadline {
  Instant At;
  const char *Cause;
};

/// Returns the time at which a parked connection is closed.
PhaseDeadline deadlineOf(const Connection &Client, const HttpLimits &Limits);

} // namespace baobabcove

#endif // BAOBABCOVE_HTTP_CONNECTION_H
