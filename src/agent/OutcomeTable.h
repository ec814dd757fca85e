/// \file
/// What became of the requests that reached this agent.

#ifndef BAOBABCOVE_AGENT_OUTCOMETABLE_H
#define BAOBABCOVE_AGENT_OUTCOMETABLE_H

#include "baobabcove/Clock.h"
#include "baobabcove/ResultCode.h"
#include "wire.pb.h"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <utility>

namespace baobabcove {

/// Keeps, for each request, that it runs, how it ended, or that it must not
/// run any more. Entries are kept for at least two periods; a table that is
/// full of younger ones takes no new request. Thread-safe.
class OutcomeTable {
public:
  /// Length of a period. Tickets name the period in which they were given.
  static constexpr Milliseconds Period{300000};
  /// Periods for which an outcome is surely kept.
  static constexpr std::uint64_t KeptPeriods = 2;

  OutcomeTable(std::size_t MaxEntries, std::size_t MaxBytes);

  /// The number of the present period; it counts from one.
  std::uint64_t period(Instant Now) const;

  enum class Claim {
    /// The caller is to run the request and then call finish or abandon.
    Run,
    /// The reply of the first run, or its refusal, was filled in.
    Known,
  };

  /// Looks a delivery up, waiting until \p Deadline for a run that is under
  /// way. A delivery that only asks, and finds nothing, bars the request from
  /// running later.
  Claim begin(const wire::ExecuteRequest &Request, const std::string &Digest,
              Instant Deadline, Instant Now, wire::ExecuteReply &Reply);

  /// The run has ended with \p Reply.
  void finish(const wire::ExecuteRequest &Request,
              const wire::ExecuteReply &Reply, Instant Now);

  /// The run never began; the request may be delivered again.
  void abandon(const wire::ExecuteRequest &Request);

  std::size_t size() const;
  std::size_t bytes() const;

private:
  enum class State { Running, Done, Barred };
  using Key = std::pair<std::string, std::string>;

  struct Entry {
    State Now = State::Running;
    std::string Digest;
    wire::ExecuteReply Reply;
    std::uint64_t Period = 0;
  };

  static Key keyOf(const wire::ExecuteRequest &Request);
  bool makeRoom(Instant Now);
  void drop(const Key &Which);

  const std::size_t MaxEntries;
  const std::size_t MaxBytes;
  const Instant Began;
  mutable std::mutex Mutex;
  std::condition_variable Ended;
  std::map<Key, Entry> Table;
  /// Keys in the order in which they ended.
  std::deque<Key> Order;
  std::size_t Bytes = 0;
};

/// A reply that refuses with \p Code.
wire::ExecuteReply executeRefusal(ResultCode Code, const std::string &Detail);

} // namespace baobabcove

#endif // BAOBABCOVE_AGENT_OUTCOMETABLE_H
