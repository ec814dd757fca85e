#ifndef BAOBABCOVE_HTTP_CONNECTIONTABLE_H
#define BAOBABCOVE_HTTP_CONNECTIONTABLE_H

#include "http/Connection.h"

#include <memory>
#include <unordered_map>
#include <vector>

namespace baobabcove {

/// What a connection that may be closed early has done so far.
struct EvictionCandidate {
  std::shared_ptr<Connection> Client;
  ConnectionPhase Phase = ConnectionPhase::New;
  bool HasServed = false;
  std::size_t Bytes = 0;
  Milliseconds Age{0};
};

/// Orders candidates by which is closed first: those that are closing anyway,
/// those that never sent a whole request, those that are slow now, and those
/// that are idle; within each group the one that has been so for longest.
bool isEvictedBefore(const EvictionCandidate &A, const EvictionCandidate &B);

/// The open connections of a server, in total and by peer. Thread-safe.
class ConnectionTable {
public:
  void add(const std::shared_ptr<Connection> &Client);
  void remove(const Connection &Client);
  /// Returns null when there is no such connection.
  std::shared_ptr<Connection> find(std::uint64_t Id) const;
  std::size_t size() const;
  std::size_t countOf(const std::string &Peer) const;
  std::vector<std::shared_ptr<Connection>> all() const;
  /// Returns the parked connections in which a client is awaited, of \p Peer
  /// only unless it is empty.
  std::vector<EvictionCandidate> candidates(const std::string &Peer,
                                            Instant Now) const;

private:
  mutable std::mutex Mutex;
  std::unordered_map<std::uint64_t, std::shared_ptr<Connection>> ById;
  std::unordered_map<std::string, std::size_t> CountByPeer;
};

} // namespace baobabcove

#endif // BAOBABCOVE_HTTP_CONNECTIONTABLE_H
