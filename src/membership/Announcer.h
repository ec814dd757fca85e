/// \file
/// Sends this process's heartbeats to the entries.

#ifndef BAOBABCOVE_MEMBERSHIP_ANNOUNCER_H
#define BAOBABCOVE_MEMBERSHIP_ANNOUNCER_H

#include "baobabcove/Clock.h"
#include "config/ConfigurationKeeper.h"
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

/// Builds the heartbeat of this moment.
using BeatSource = std::function<wire::Heartbeat()>;
/// Hears each reply, and when the heartbeat it answers was sent.
using ReplyListener =
    std::function<void(const wire::HeartbeatReply &, Instant SentAt)>;

/// One thread for each known entry sends a heartbeat a period, and at once
/// after a nudge. Entries are learned from replies, so that the first
/// addresses are needed only to begin with. A connection without an answer is
/// replaced.
class Announcer {
public:
  Announcer(RpcPeers &Peers, ConfigurationKeeper &Keeper, Milliseconds Period,
            BeatSource Source, ReplyListener Listener);
  ~Announcer();

  /// Begins to announce to \p Address. A seed is never given up, another
  /// entry is when it has not answered for long.
  void add(const std::string &Address, bool Seed);

  /// Sends the next heartbeats now.
  void nudge();

  /// Sends heartbeats now and waits until every entry that answers has heard
  /// one built since. Returns false when \p Patience ran out before.
  bool tellAll(Milliseconds Patience);

  /// Sends a last heartbeat to every entry and stops.
  void stop();

  /// Addresses of entries that answered lately.
  std::vector<std::string> answering() const;

private:
  /// The line to one entry.
  struct Line {
    std::string Address;
    Instant AnsweredAt;
    /// Nudges that had been given when the last answered heartbeat was built.
    std::uint64_t Told = 0;
    std::thread Thread;
    bool Seed = false;
    /// Whether the last heartbeat was answered.
    bool Answers = false;
    bool Ended = false;
  };

  void run(Line &Mine);
  bool beatOnce(Line &Mine, std::uint64_t NudgesSeen);
  void learn(const wire::HeartbeatReply &Reply, Instant SentAt);

  RpcPeers &Peers;
  ConfigurationKeeper &Keeper;
  const Milliseconds Period;
  const BeatSource Source;
  const ReplyListener Listener;
  mutable std::mutex Mutex;
  std::condition_variable Wake;
  std::condition_variable Answered;
  std::map<std::string, std::unique_ptr<Line>> Lines;
  std::uint64_t Nudges = 0;
  bool Stopping = false;
};

} // namespace baobabcove

#endif // BAOBABCOVE_MEMBERSHIP_ANNOUNCER_H
