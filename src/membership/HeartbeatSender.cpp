#include "membership/HeartbeatSender.h"

#include "base/Log.h"

#include <algorithm>

namespace baobabcove {

namespace {

constexpr Milliseconds MinReplyTimeout{1000};
/// A discovered entry that has not replied for this long is dropped.
constexpr Milliseconds DropAfter{30000};
constexpr std::size_t MaxReceivers = 16;

} // namespace

HeartbeatSender::HeartbeatSender(RpcPeers &Peers,
                                 ActiveConfiguration &Configurations,
                                 Milliseconds Period,
                                 HeartbeatSource BuildHeartbeat,
                                 ReplyListener OnReply)
    : Peers(Peers), Configurations(Configurations), Period(Period),
      BuildHeartbeat(std::move(BuildHeartbeat)), OnReply(std::move(OnReply)) {}

HeartbeatSender::~HeartbeatSender() { stop(); }

void HeartbeatSender::add(const std::string &Address, bool Seed) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (Stopping)
    return;
  for (auto It = Receivers.begin(); It != Receivers.end();) {
    if (!It->second->Ended) {
      ++It;
      continue;
    }
    It->second->Thread.join();
    It = Receivers.erase(It);
  }
  if (Receivers.count(Address) != 0 || Receivers.size() >= MaxReceivers)
    return;
  auto Added = std::make_unique<Receiver>();
  Added->Address = Address;
  Added->LastReplyAt = monotonicNow();
  Added->Seed = Seed;
  Receiver &To = *Added;
  Receivers[Address] = std::move(Added);
  To.Thread = std::thread([this, &To] { run(To); });
}

void HeartbeatSender::sendNow() {
  const std::lock_guard<std::mutex> Lock(Mutex);
  ++ImmediateRequests;
  Wake.notify_all();
}

bool HeartbeatSender::sendAndWait(Milliseconds Timeout) {
  std::unique_lock<std::mutex> Lock(Mutex);
  const std::uint64_t Requested = ++ImmediateRequests;
  Wake.notify_all();
  return ReplyReceived.wait_for(Lock, Timeout, [&] {
    return std::all_of(Receivers.begin(), Receivers.end(),
                       [&](const auto &Pair) {
                         const Receiver &Each = *Pair.second;
                         return Each.Ended || !Each.Responding ||
                                Each.AcknowledgedRequest >= Requested;
                       });
  });
}

void HeartbeatSender::stop() {
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Stopping = true;
    Wake.notify_all();
  }
  // add() inserts nothing once Stopping is set, so that the map can be iterated
  // without the lock.
  for (auto &[Address, Each] : Receivers)
    if (Each->Thread.joinable())
      Each->Thread.join();
}

std::vector<std::string> HeartbeatSender::respondingEntries() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const Instant Now = monotonicNow();
  std::vector<std::string> Result;
  for (const auto &[Address, Each] : Receivers)
    if (!Each->Ended && Each->Responding &&
        Now - Each->LastReplyAt < 2 * Period + MinReplyTimeout)
      Result.push_back(Address);
  return Result;
}

bool HeartbeatSender::sendOnce(Receiver &To, std::uint64_t RequestsSeen) {
  const Instant SentAt = monotonicNow();
  const auto Reply = Peers.heartbeat(To.Address, BuildHeartbeat(),
                                     std::max(MinReplyTimeout, 2 * Period));
  if (!Reply) {
    // The connection may never recover; the next heartbeat opens a new one.
    Peers.forget(To.Address);
    const std::lock_guard<std::mutex> Lock(Mutex);
    To.Responding = false;
    ReplyReceived.notify_all();
    return false;
  }
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    To.LastReplyAt = monotonicNow();
    To.Responding = true;
    To.AcknowledgedRequest = RequestsSeen;
    ReplyReceived.notify_all();
  }
  handleReply(*Reply, SentAt);
  return true;
}

void HeartbeatSender::handleReply(const wire::HeartbeatReply &Reply,
                                  Instant SentAt) {
  if (Reply.has_configuration())
    Configurations.installIfNewer(Reply.configuration());
  OnReply(Reply, SentAt);
  for (const auto &Entry : Reply.entries())
    add(Entry.rpc_address(), false);
}

void HeartbeatSender::run(Receiver &To) {
  std::uint64_t RequestsSeen = 0;
  bool Final = false;
  while (!Final) {
    {
      const std::lock_guard<std::mutex> Lock(Mutex);
      RequestsSeen = ImmediateRequests;
      Final = Stopping;
    }
    const bool GotReply = sendOnce(To, RequestsSeen);
    std::unique_lock<std::mutex> Lock(Mutex);
    if (!GotReply && !To.Seed && monotonicNow() - To.LastReplyAt > DropAfter)
      break;
    if (!Final)
      Wake.wait_for(Lock, Period, [&] {
        return Stopping || ImmediateRequests != RequestsSeen;
      });
  }
  const std::lock_guard<std::mutex> Lock(Mutex);
  To.Ended = true;
}

} // namespace baobabcove
