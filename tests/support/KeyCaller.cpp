#include "KeyCaller.h"

#include <algorithm>
#include <iterator>

namespace baobabcove::testing {

namespace {

constexpr int Unauthorized = 401;
constexpr int Forbidden = 403;
constexpr int Unavailable = 503;
/// Ids of jobs that no entry may accept.
constexpr std::uint64_t FirstId = 0x7000000000000000;

/// Ways to write a key that mean the same.
constexpr const char *Written[] = {"Bearer ", "bearer ", "BEARER  ",
                                   "Bearer\t"};
/// Values of the header that hold no key.
constexpr const char *WithoutKey[] = {"Bearer", "Bearer ", "",
                                      "Basic a2VwdA==", KeptKey};

} // namespace

KeyCaller::KeyCaller(TaskDeployment &System, unsigned Seed)
    : System(System), Random(Seed), Clients(System.clients()) {}

std::string KeyCaller::badCredentials() {
  const std::vector<std::string> Gone =
      System.keysWithdrawnBefore(monotonicNow() - MaxUseAfterWithdrawal);
  const std::string Prefix = Written[Random.below(std::size(Written))];
  if (!Gone.empty() && !Random.oneIn(3)) {
    ++Withdrawn;
    // The latest ones are those that a slow entry may still know.
    const std::size_t Latest = std::min<std::size_t>(Gone.size(), 3);
    return Prefix + Gone[Gone.size() - 1 - Random.below(Latest)];
  }
  if (Random.oneIn(2))
    return Prefix + "key-of-no-configuration";
  return WithoutKey[Random.below(std::size(WithoutKey))];
}

HttpCall KeyCaller::anyCall() {
  static constexpr const char *Methods[] = {"POST", "GET", "DELETE"};
  const std::string Method = Methods[Random.below(std::size(Methods))];
  const std::string Queue = Random.oneIn(2) ? queuePrefix() : KeyedQueuePrefix;
  if (Method == "GET" && Random.oneIn(2))
    return jobCall(Method, "", "", Queue);
  const std::string Id = jobIdText(FirstId + Refused.size());
  FleetJob Job;
  Job.Accelerators = 1;
  if (Method != "POST")
    return jobCall(Method, Id, "", Queue);
  Refused.push_back(Id);
  return jobCall(Method, Id, Job.body(), Queue);
}

int KeyCaller::send(const HttpCall &Call) {
  const std::size_t At = Random.below(Clients.size());
  Entry = System.Entries[At]->ip();
  ++Calls;
  const auto Answer = Clients[At]->call(Call);
  return Answer ? Answer->Status : 0;
}

void KeyCaller::callWithBadCredentials() {
  HttpCall Call = anyCall();
  const std::string Credentials = badCredentials();
  Call.Headers["Authorization"] = Credentials;
  const int Status = send(Call);
  if (Status != Unauthorized && Status != Unavailable && Status != 0)
    Found += "CONFIG: " + Call.Method + " " + Call.Path + " with '" +
             Credentials + "' at " + Entry + " is answered with " +
             std::to_string(Status) + "\n";
}

void KeyCaller::callWithKeptKey() {
  HttpCall Call = jobCall("GET", "", "",
                          Random.oneIn(2) ? queuePrefix() : KeyedQueuePrefix);
  Call.Headers["Authorization"] =
      Written[Random.below(std::size(Written))] + std::string(KeptKey);
  const int Status = send(Call);
  if (Status == Unauthorized || Status == Forbidden)
    Found += "CONFIG: GET " + Call.Path + " with a key that is kept at " +
             Entry + " is answered with " + std::to_string(Status) + "\n";
}

std::string KeyCaller::violations() const {
  std::string All = Found;
  for (const std::string &Id : Refused)
    if (System.Fleet->startsOf(Id + ".0.0.0") > 0)
      All += "CONFIG: job " + Id + " has begun, which was submitted with bad " +
             "credentials\n";
  return All;
}

} // namespace baobabcove::testing
