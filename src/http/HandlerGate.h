#ifndef BAOBABCOVE_HTTP_HANDLERGATE_H
#define BAOBABCOVE_HTTP_HANDLERGATE_H

#include "http/Connection.h"

#include <memory>
#include <vector>

namespace baobabcove {

/// Returns the memory that parsing and answering \p Request may take, from its
/// size and the number of values in its body if that is JSON.
std::size_t handlingBytes(const HttpRequest &Request);

/// Admits received requests to their handler as long as threads and memory are
/// left, and queues the others. Thread-safe.
class HandlerGate {
public:
  HandlerGate(MemoryBudget &Budget, MemoryShare Share, std::size_t Threads,
              std::size_t ReservedThreads);

  /// Admits the request of \p Client, whose HandlingBytes are set. When
  /// nothing is left, queues the client by calling \p Park, and returns false.
  /// A system request is admitted to the reserved threads and never queued for
  /// memory.
  template <class Function>
  bool admit(const std::shared_ptr<Connection> &Client, bool IsSystem,
             Function Park) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (tryEnter(*Client, IsSystem))
      return true;
    Waiting.push_back(Client);
    Park();
    return false;
  }

  /// Returns the most memory that the handling of one request may take. One
  /// that is alone may exceed the budget.
  std::size_t mostBytes() const;

  /// Ends the handling of an admitted request that held \p Bytes.
  void leave(std::size_t Bytes);

  /// Admits the waiting request with the lowest cost, taking its connection.
  /// Returns null when there is none, or nothing is left. Ordinary requests
  /// thus do not wait for the large ones of an attack, which are refused after
  /// the queue timeout.
  std::shared_ptr<Connection> admitNext();
  bool isEmpty() const;

private:
  bool tryEnter(Connection &Client, bool IsSystem);

  MemoryBudget &Budget;
  const MemoryShare Share;
  const std::size_t Threads;
  const std::size_t ReservedThreads;
  mutable std::mutex Mutex;
  std::size_t Handling = 0;
  std::vector<std::shared_ptr<Connection>> Waiting;
};

} // namespace baobabcove

#endif // BAOBABCOVE_HTTP_HANDLERGATE_H
