#include "http/ConnectionTable.h"

#include <tuple>

namespace baobabcove {

namespace {

int evictionGroup(const EvictionCandidate &Candidate) {
  if (Candidate.Phase == ConnectionPhase::Closing)
    return 0;
  if (!Candidate.HasServed)
    return 1;
  return Candidate.Phase == ConnectionPhase::Idle ? 3 : 2;
}

} // namespace

bool isEvictedBefore(const EvictionCandidate &A, const EvictionCandidate &B) {
  return std::tuple(evictionGroup(A), B.Age) <
         std::tuple(evictionGroup(B), A.Age);
}

void ConnectionTable::add(const std::shared_ptr<Connection> &Client) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  ById.emplace(Client->Id, Client);
  ++CountByPeer[Client->Peer];
}

void ConnectionTable::remove(const Connection &Client) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const auto Found = CountByPeer.find(Client.Peer);
  if (Found != CountByPeer.end() && --Found->second == 0)
    CountByPeer.erase(Found);
  ById.erase(Client.Id);
}

std::shared_ptr<Connection> ConnectionTable::find(std::uint64_t Id) const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const auto Found = ById.find(Id);
  return Found == ById.end() ? nullptr : Found->second;
}

std::size_t ConnectionTable::size() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return ById.size();
}

std::size_t ConnectionTable::countOf(const std::string &Peer) const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const auto Found = CountByPeer.find(Peer);
  return Found == CountByPeer.end() ? 0 : Found->second;
}

std::vector<std::shared_ptr<Connection>> ConnectionTable::all() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  std::vector<std::shared_ptr<Connection>> Clients;
  Clients.reserve(ById.size());
  for (const auto &[Id, Client] : ById)
    Clients.push_back(Client);
  return Clients;
}

std::vector<EvictionCandidate>
ConnectionTable::candidates(const std::string &Peer, Instant Now) const {
  std::vector<EvictionCandidate> Found;
  for (auto &Client : all()) {
    if (!Peer.empty() && Client->Peer != Peer)
      continue;
    EvictionCandidate Candidate;
    const bool IsParked = Client->ifParked([&](const Connection &Parked) {
      Candidate.Phase = Parked.Phase;
      Candidate.HasServed = Parked.HasServed;
      Candidate.Bytes = Parked.Held.size();
      Candidate.Age = Now - Parked.PhaseSince;
    });
    // A received request is answered.
    if (!IsParked || Candidate.Phase == ConnectionPhase::Queued)
      continue;
    Candidate.Client = std::move(Client);
    Found.push_back(std::move(Candidate));
  }
  return Found;
}

} // namespace baobabcove
