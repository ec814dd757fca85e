#ifndef BAOBABCOVE_TESTS_SUPPORT_FAKEKV_H
#define BAOBABCOVE_TESTS_SUPPORT_FAKEKV_H

#include "store/TransactionalStore.h"

#include <deque>
#include <map>
#include <mutex>

namespace baobabcove {

/// An in-memory store for tests, with the revisions and leases of the
/// platform's store and injected faults. Thread-safe.
class FakeKv : public TransactionalStore {
public:
  /// Fault that affects the following calls.
  enum class Fault {
    None,
    /// Calls except revoke() fail with StoreUnavailable and have no effect.
    Unavailable,
    /// Commits take effect, but fail with StoreAnswerLost.
    AnswerLost,
    /// Commits fail with StoreAnswerLost and take effect in applyDelayed().
    Delayed,
  };

  void setFault(Fault Next) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    ActiveFault = Next;
  }
  /// Drops the history of changes, as a compaction of the store does.
  void compact() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    History.clear();
    CompactedRevision = Revision;
  }
  /// Applies the commits delayed by Fault::Late whose conditions hold.
  void applyDelayed() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    for (const Transaction &Change : DelayedCommits)
      apply(Change);
    DelayedCommits.clear();
  }
  /// Ends a lease as if it had expired.
  void expire(std::int64_t Lease) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    endLease(Lease);
  }
  void put(const std::string &Key, const std::string &Value) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    apply({{}, {{Key, Value, 0}}, {}});
  }
  std::string value(const std::string &Key) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    return Items.count(Key) ? Items[Key].Value : "";
  }
  int commits() const { return Commits; }
  int renewals() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    return Renewals;
  }

  Expected<CommitResult> commit(const Transaction &Change) override {
    const std::lock_guard<std::mutex> Lock(Mutex);
    ++Commits;
    if (ActiveFault == Fault::Unavailable)
      return failure(ResultCode::StoreUnavailable, "the store is unavailable");
    if (ActiveFault == Fault::Delayed) {
      DelayedCommits.push_back(Change);
      return failure(ResultCode::StoreAnswerLost, "the response was lost");
    }
    CommitResult Result = apply(Change);
    if (ActiveFault == Fault::AnswerLost)
      return failure(ResultCode::StoreAnswerLost, "the response was lost");
    return Result;
  }

  Expected<std::optional<StoreItem>> read(const std::string &Key) override {
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (ActiveFault == Fault::Unavailable)
      return failure(ResultCode::StoreUnavailable, "the store is unavailable");
    const auto Found = Items.find(Key);
    if (Found == Items.end())
      return std::optional<StoreItem>();
    return std::optional<StoreItem>(Found->second);
  }

  Expected<StoreChanges> list(const std::string &Prefix) override {
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (ActiveFault == Fault::Unavailable)
      return failure(ResultCode::StoreUnavailable, "the store is unavailable");
    StoreChanges Result;
    for (const auto &[Key, Item] : Items)
      if (Key.rfind(Prefix, 0) == 0)
        Result.Items.push_back(Item);
    Result.Revision = Revision;
    return Result;
  }

  Expected<StoreChanges> changes(const std::string &Prefix, std::int64_t After,
                                 Milliseconds) override {
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (ActiveFault == Fault::Unavailable)
      return failure(ResultCode::StoreUnavailable, "the store is unavailable");
    if (After < CompactedRevision)
      return failure(ResultCode::CompareFailed,
                     "the revision has been compacted");
    StoreChanges Changes;
    Changes.Revision = Revision;
    for (const auto &[At, Item] : History)
      if (At > After && Item.Key.rfind(Prefix, 0) == 0)
        Changes.Items.push_back(Item);
    return Changes;
  }

  Expected<std::int64_t> grant(Milliseconds) override {
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (ActiveFault == Fault::Unavailable)
      return failure(ResultCode::StoreUnavailable, "the store is unavailable");
    Leases[++LastLease];
    return LastLease;
  }

  Expected<void> renew(std::int64_t Lease) override {
    const std::lock_guard<std::mutex> Lock(Mutex);
    ++Renewals;
    if (ActiveFault == Fault::Unavailable)
      return failure(ResultCode::StoreUnavailable, "the store is unavailable");
    if (!Leases.count(Lease))
      return failure(ResultCode::CompareFailed, "the lease has expired");
    return {};
  }

  Expected<void> revoke(std::int64_t Lease) override {
    const std::lock_guard<std::mutex> Lock(Mutex);
    endLease(Lease);
    return {};
  }

  const StoreHealth &health() const override { return Health; }
  StoreHealth Health;

private:
  CommitResult apply(const Transaction &Change) {
    CommitResult Result;
    bool ConditionsHold = true;
    for (const StoreCondition &Condition : Change.Conditions) {
      const auto Found = Items.find(Condition.Key);
      const std::int64_t CurrentRevision =
          Found == Items.end() ? 0 : Found->second.Revision;
      ConditionsHold = ConditionsHold && CurrentRevision == Condition.Revision;
      if (Found != Items.end())
        Result.Current.push_back(Found->second);
    }
    if (!ConditionsHold)
      return Result;
    Result.Current.clear();
    ++Revision;
    for (const StoreWrite &Write : Change.Writes) {
      StoreItem &Item = Items[Write.Key];
      if (Item.Revision == 0)
        Item.Created = Revision;
      Item.Key = Write.Key;
      Item.Value = Write.Value;
      Item.Revision = Revision;
      if (Write.Lease)
        Leases[Write.Lease].push_back(Write.Key);
      History.emplace_back(Revision, Item);
    }
    for (const std::string &Key : Change.Removals)
      removeKey(Key);
    Result.Revision = Revision;
    return Result;
  }

  void endLease(std::int64_t Lease) {
    const auto Found = Leases.find(Lease);
    if (Found == Leases.end())
      return;
    ++Revision;
    for (const std::string &Key : Found->second)
      removeKey(Key);
    Leases.erase(Found);
  }

  void removeKey(const std::string &Key) {
    if (Items.erase(Key))
      History.emplace_back(Revision, StoreItem{Key, "", 0, 0});
  }

  std::mutex Mutex;
  Fault ActiveFault = Fault::None;
  int Commits = 0;
  int Renewals = 0;
  std::int64_t Revision = 1;
  std::int64_t CompactedRevision = 0;
  std::int64_t LastLease = 0;
  std::map<std::string, StoreItem> Items;
  std::map<std::int64_t, std::vector<std::string>> Leases;
  std::vector<std::pair<std::int64_t, StoreItem>> History;
  std::deque<Transaction> DelayedCommits;
};

} // namespace baobabcove

#endif // BAOBABCOVE_TESTS_SUPPORT_FAKEKV_H
