#ifndef BAOBABCOVE_REVIEW_STANDINS_MINION_H
#define BAOBABCOVE_REVIEW_STANDINS_MINION_H

#include "Http.h"
#include "Record.h"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>

namespace baobabcove::review {

struct MinionSettings {
  std::string Id;
  std::string Address;
  std::string Control;
  std::string Service;
  std::string Zone;
  std::string Rack;
  std::string RecordPath;
};

/// Stand-in of a minion. The spec of a task selects what it does: "work_ms=N"
/// is its run time (without it the task lasts), the task with the index I of
/// "long=I long_ms=N" has another run time, and that of "fails=I" fails at its
/// end.
class Minion {
public:
  explicit Minion(MinionSettings From);

  Response answerCall(const Request &Message);
  /// Ends the runs whose work is done or whose lease has expired.
  void update();
  /// Reports this minion to the agent on its machine.
  void sendHeartbeat();

private:
  struct Run {
    std::int64_t Number = 0;
    std::int64_t StartedMs = 0;
    /// Zero for a task that lasts.
    std::int64_t WorkMs = 0;
    bool Fails = false;
    /// When a stop takes effect; zero without one.
    std::int64_t StopsAtMs = 0;
  };
  struct End {
    std::int64_t Number = 0;
    std::string Task;
    std::int64_t Run = 0;
    std::string How;
  };

  /// Milliseconds since this minion started.
  std::int64_t clockMs() const;
  Response start(const JsonObject &Body);
  Response stop(const JsonObject &Body);
  Response hold(const JsonObject &Body, std::unique_lock<std::mutex> &Lock);
  Response refuse(const std::string &Reason) const;
  JsonObject listRuns() const;
  JsonObject clockReply() const;
  void extendLease(const JsonObject &Body);
  /// Ends all runs that are due at \p Now.
  void endRuns(std::int64_t Now);
  static std::string outcomeOf(const Run &Each, std::int64_t Now,
                               std::int64_t LeaseMs);

  const MinionSettings Settings;
  const Record Events;
  const std::int64_t BornMs = unixMs();
  std::mutex Mutex;
  std::condition_variable Ended;
  std::int64_t Sequence = 0;
  std::int64_t LeaseMs = 0;
  std::int64_t Fence = 0;
  std::int64_t LastEnd = 0;
  std::map<std::string, Run> Running;
  std::deque<End> Ends;
  /// The highest run of each task that was stopped or has ended here.
  std::map<std::string, std::int64_t> Barred;
};

} // namespace baobabcove::review

#endif // BAOBABCOVE_REVIEW_STANDINS_MINION_H
