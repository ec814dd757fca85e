#ifndef BAOBABCOVE_ENTRY_RETRYBUDGET_H
#define BAOBABCOVE_ENTRY_RETRYBUDGET_H

#include <algorithm>
#include <mutex>

namespace baobabcove {

/// Bounds retries to a share of all requests: each request deposits a fraction
/// of a retry, each retry withdraws one. After the retry budget of Finagle.
/// Thread-safe.
class RetryBudget {
public:
  /// \p Percent is the number of retries per hundred requests.
  explicit RetryBudget(double Percent) : RetriesPerRequest(Percent / 100) {}

  void deposit() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Balance = std::min(MaxBalance, Balance + RetriesPerRequest);
  }

  /// Withdraws one retry; returns false when the budget is exhausted.
  bool tryWithdraw() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (Balance < 1)
      return false;
    Balance -= 1;
    return true;
  }

private:
  static constexpr double MaxBalance = 100;
  static constexpr double InitialBalance = 10;

  std::mutex Mutex;
  const double RetriesPerRequest;
  double Balance = InitialBalance;
};

} // namespace baobabcove

#endif // BAOBABCOVE_ENTRY_RETRYBUDGET_H
