/// \file
/// Callers that send keyed requests under faults, and what they were told.

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

/// What callers got, by key.
struct Tally {
  std::mutex Mutex;
  std::map<std::string, CallResult> Last;
  std::vector<std::string> Wrong;
  /// Callers that go on until told.
  std::atomic<bool> Stop{false};

  void note(const std::string &Key, const std::string &Body,
            const CallResult &Result);
  /// The answers of callers that were not served.
  std::string unanswered() const;
  std::size_t count(const std::string &Outcome) const;
};

/// The first promise that the journals show broken, or an empty text: an
/// answer that is another's, a request that ran twice, one that ran although
/// its caller was told "not run", or an answer to one that never ran.
std::string broken(const Tally &Got, const Deployment &Site);

/// How callers behave.
struct CallerPlan {
  int Threads = 8;
  /// Requests of each thread.
  int Count = 25;
  /// Part of the body that tells the minion how long to work.
  std::string Work = "work=60";
  int Entries = 2;
};

/// Threads that send requests which are not idempotent, each with its key, and
/// repeat each by its key through the next entry until the outcome is known.
class Callers {
public:
  Callers(Deployment &Site, Tally &Got, const CallerPlan &Plan);
  ~Callers();
  /// Waits until every thread has sent what it was to send, or was told to
  /// stop.
  void join();

private:
  Tally &Got;
  std::vector<std::thread> List;
};

void sleepMs(int Ms);

} // namespace baobabcove::testing

#endif // BAOBABCOVE_TESTS_SUPPORT_CALLERS_H
