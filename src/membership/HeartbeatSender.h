#ifndef BAOBABCOVE_MEMBERSHIP_HEARTBEATSENDER_H
#define BAOBABCOVE_MEMBERSHIP_HEARTBEATSENDER_H

#include "baobabcove/Clock.h"
#include "config/ActiveConfiguration.h"
#include "rpc/Rpc.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace baobabcove {

/// Returns a heartbeat with the current state of the process.
using HeartbeatSource = std::function<wire::Heartbeat()>;
/// Called with each reply and the time at which its heartbeat was sent.
using ReplyListener =
    std::function<void(const wire::HeartbeatReply &, Instant SentAt)>;

/// Sends this process's heartbeats to the entries. One thread for each known
/// entry sends a heartbeat every period, and immediately on request. Further
/// entries are discovered from the replies, so that the first addresses are
/// needed only at the start. A connection on which a heartbeat got no reply is
/// replaced.
class HeartbeatSender {
public:
  HeartbeatSender(RpcPeers &Peers, ActiveConfiguration &Configurations,
                  Milliseconds Period, HeartbeatSource BuildHeartbeat,
                  ReplyListener OnReply);
  ~HeartbeatSender();

  /// Starts sending heartbeats to the entry at \p Address, up to a fixed number
  /// of entries. A seed is never given up; any other entry is dropped after it
  /// has not replied for a while.
  void add(const std::string &Address, bool Seed);

  /// Sends the next heartbeat to every entry now. Does not wait.
  void sendNow();

  /// Sends heartbeats now and waits until every responding entry has replied to
  /// one that was built after this call. Returns false if \p Timeout expires
  /// first.
  bool sendAndWait(Milliseconds Timeout);

  /// Sends a final heartbeat to every entry and joins the threads.
  void stop();

  /// Returns the addresses of the entries that have replied recently.
  std::vector<std::string> respondingEntries() const;

private:
  /// An entry that receives heartbeats, and the thread that sends them.
  struct Receiver {
    std::string Address;
    Instant LastReplyAt;
    /// Value of ImmediateRequests when the last heartbeat that got a reply was
    /// built.
    std::uint64_t AcknowledgedRequest = 0;
    std::thread Thread;
    bool Seed = false;
    /// Whether the last heartbeat got a reply.
    bool Responding = false;
    bool Ended = false;
  };

  void run(Receiver &To);
  bool sendOnce(Receiver &To, std::uint64_t RequestsSeen);
  void handleReply(const wire::HeartbeatReply &Reply, Instant SentAt);

  RpcPeers &Peers;
  ActiveConfiguration &Configurations;
  const Milliseconds Period;
  const HeartbeatSource BuildHeartbeat;
  const ReplyListener OnReply;
  mutable std::mutex Mutex;
  std::condition_variable Wake;
  std::condition_variable ReplyReceived;
  std::map<std::string, std::unique_ptr<Receiver>> Receivers;
  /// Number of requests for an immediate heartbeat so far.
  std::uint64_t ImmediateRequests = 0;
  bool Stopping = false;
};

} // namespace baobabcove

#endif // BAOBABCOVE_MEMBERSHIP_HEARTBEATSENDER_H
