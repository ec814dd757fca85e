/// \file
/// Keeps retries a bounded share of all requests.

#ifndef BAOBABCOVE_ENTRY_RETRYBUDGET_H
#define BAOBABCOVE_ENTRY_RETRYBUDGET_H

#include <algorithm>
#include <mutex>

namespace baobabcove {

/// Each request earns a part of a retry, each retry spends one. After the
/// retry budget of Finagle. Thread-safe.
class RetryBudget {
public:
  /// \p Percent retries for each hundred requests.
  explicit RetryBudget(double Percent) : Share(Percent / 100) {}

  void earn() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Balance = std::min(MostSaved, Balance + Share);
  }

  /// Takes one retry; returns false when none is left.
  bool spend() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (Balance < 1)
      return false;
    Balance -= 1;
    return true;
  }

private:
  static constexpr double MostSaved = 100;
  static constexpr double FirstBalance = 10;

  std::mutex Mutex;
  const double Share;
  double Balance = FirstBalance;
};

} // namespace baobabcove

#endif // BAOBABCOVE_ENTRY_RETRYBUDGET_H
