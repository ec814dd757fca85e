#ifndef BAOBABCOVE_TESTS_SUPPORT_CALLERS_H
#define BAOBABCOVE_TESTS_SUPPORT_CALLERS_H

#include "Deployment.h"

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace baobabcove::testing {

/// Results of the requests of all callers, by idempotency key. Thread-safe
/// while callers run, except for describeUnanswered() and count().
struct CallerResults {
  std::mutex Mutex;
  std::map<std::string, CallResult> LastResults;
  std::vector<std::string> WrongResponses;
  /// Makes callers stop before they have sent all their requests.
  std::atomic<bool> Stop{false};

  void record(const std::string &Key, const std::string &Body,
              const CallResult &Result);
  /// Returns one line for each request that was not answered.
  std::string describeUnanswered() const;
  /// Returns the number of requests with that outcome.
  std::size_t count(const std::string &Outcome) const;
};

/// Compares the results with the journals of the minions. Returns the first
/// violation, or an empty string: a response to another request, a request that
/// ran twice, one that ran although its caller was told "not run", or a
/// response to one that never ran.
std::string firstViolation(const CallerResults &Results,
                           const Deployment &Cluster);

/// Load that callers generate.
struct CallerOptions {
  int ThreadCount = 8;
  int RequestsPerThread = 25;
  /// Part of the body that sets the work time of the minion in ms.
  std::string Work = "work=60";
  int Entries = 2;
  /// Whether a caller uses a connection until its entry closes it, also while
  /// the entry shuts down, instead of opening one for each request.
  bool KeepConnections = false;
};

/// Threads that send non-idempotent requests with idempotency keys. A request
/// whose outcome is not known is repeated with its key at the next entry.
class Callers {
public:
  Callers(Deployment &Cluster, CallerResults &Results,
          const CallerOptions &Options);
  ~Callers();
  /// Waits until every thread has sent its requests or was stopped.
  void join();

private:
  CallerResults &Results;
  std::vector<std::thread> Threads;
};

void sleepMs(int Ms);

} // namespace baobabcove::testing

#endif // BAOBABCOVE_TESTS_SUPPORT_CALLERS_H
