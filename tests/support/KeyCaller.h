#ifndef BAOBABCOVE_TESTS_SUPPORT_KEYCALLER_H
#define BAOBABCOVE_TESTS_SUPPORT_KEYCALLER_H

#include "Dice.h"
#include "TaskDeployment.h"

#include "base/HttpClient.h"

#include <memory>
#include <string>
#include <vector>

namespace baobabcove::testing {

/// Calls entries with keys that were withdrawn, that no configuration held, and
/// with credentials that hold no key, over connections that stay open, on
/// queues that admit calls without a key and on those that do not.
class KeyCaller {
public:
  /// The users' bound on the use of a key after its withdrawal.
  static constexpr Milliseconds MaxUseAfterWithdrawal{5000};

  KeyCaller(TaskDeployment &System, unsigned Seed);

  /// Sends one call with bad credentials.
  void callWithBadCredentials();
  /// Sends one call with a key that is never withdrawn.
  void callWithKeptKey();

  /// Returns what broke a rule, one line each: a call with bad credentials that
  /// ran, or one with a good key that was refused for it.
  std::string violations() const;
  std::size_t calls() const { return Calls; }
  /// Number of those with a withdrawn key.
  std::size_t withdrawn() const { return Withdrawn; }

private:
  /// Returns a value of the Authorization header that must not be admitted.
  std::string badCredentials();
  HttpCall anyCall();
  /// Sends a call to any entry, which Entry names then. Returns the status;
  /// zero without an answer.
  int send(const HttpCall &Call);

  TaskDeployment &System;
  Dice Random;
  std::vector<std::unique_ptr<HttpClient>> Clients;
  /// Jobs that were submitted with bad credentials.
  std::vector<std::string> Refused;
  std::string Found;
  /// The entry that was called last.
  std::string Entry;
  std::size_t Calls = 0;
  std::size_t Withdrawn = 0;
};

} // namespace baobabcove::testing

#endif // BAOBABCOVE_TESTS_SUPPORT_KEYCALLER_H
