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

/// Records for each request whether it is running, how it ended, or that it
/// was withdrawn and must not run. Entries are kept for at least KeptPeriods
/// periods; a table full of younger entries refuses new requests. Thread-safe.
class OutcomeTable {
public:
  /// Length of a period. A ticket carries the period in which it was issued.
  static constexpr Milliseconds Period{300000};
  /// Minimum number of periods for which an outcome is kept.
  static constexpr std::uint64_t KeptPeriods = 2;

  OutcomeTable(std::size_t MaxEntries, std::size_t MaxBytes);

  /// Returns the number of the current period, counted from one.
  std::uint64_t period(Instant Now) const;

  enum class Admission {
    /// The caller must run the request and then call finish or abandon.
    Run,
    /// The reply of the first run, or a refusal, was stored in the reply.
    Replied,
  };

  /// Looks up the request of a delivery and waits until \p Deadline if it is
  /// running. An ask_only delivery that finds no entry withdraws the request,
  /// so that a later delivery of it does not run.
  Admission begin(const wire::ExecuteRequest &Request,
                  const std::string &Digest, Instant Deadline, Instant Now,
                  wire::ExecuteReply &Reply);

  /// Records that the run ended with \p Reply.
  void finish(const wire::ExecuteRequest &Request,
              const wire::ExecuteReply &Reply, Instant Now);

  /// Removes the entry of a run that never started; the request may be
  /// delivered again.
  void abandon(const wire::ExecuteRequest &Request);

  std::size_t size() const;
  std::size_t bytes() const;

private:
  enum class State { Running, Done, Withdrawn };
  using Key = std::pair<std::string, std::string>;

  struct Entry {
    State Status = State::Running;
    std::string Digest;
    wire::ExecuteReply Reply;
    std::uint64_t Period = 0;
  };

  static Key keyOf(const wire::ExecuteRequest &Request);
  bool makeRoom(Instant Now);
  void drop(const Key &Which);

  const std::size_t MaxEntries;
  const std::size_t MaxBytes;
  const Instant StartedAt;
  mutable std::mutex Mutex;
  std::condition_variable EntryEnded;
  std::map<Key, Entry> Table;
  /// Keys in the order in which their requests ended.
  std::deque<Key> EndOrder;
  std::size_t Bytes = 0;
};

/// Returns a reply that refuses the request with \p Code.
wire::ExecuteReply executeRefusal(ResultCode Code, const std::string &Detail);

} // namespace baobabcove

#endif // BAOBABCOVE_AGENT_OUTCOMETABLE_H
