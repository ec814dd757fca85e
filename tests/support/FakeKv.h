/// \file
/// A store in memory for tests, whose answers can be lost or refused.

#ifndef BAOBABCOVE_TESTS_SUPPORT_FAKEKV_H
#define BAOBABCOVE_TESTS_SUPPORT_FAKEKV_H

#include "store/TransactionalStore.h"

#include <deque>
#include <map>
#include <mutex>

namespace baobabcove {

/// Keeps revisions like the platform's store. Thread-safe.
class FakeKv : public TransactionalStore {
public:
  /// What happens to the next writes.
  enum class Fault {
    None,
    /// Refused, nothing is done.
    Away,
    /// Done, but the answer is lost.
    AnswerLost,
    /// Not done now, the answer is lost; done later by runLate().
    Late,
  };

  void setFault(Fault Next) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Mode = Next;
  }
  /// Forgets the history of changes.
  void compact() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    History.clear();
    Forgotten = Revision;
  }
  /// Carries out writes that were held back, as far as their conditions hold.
  void runLate() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    for (const Transaction &Change : Held)
      apply(Change);
    Held.clear();
  }
  /// Ends a lease as if its time had run out.
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

  Expected<CommitResult> commit(const Transaction &Change) override {
    const std::lock_guard<std::mutex> Lock(Mutex);
    ++Commits;
    if (Mode == Fault::Away)
      return failure(ResultCode::StoreUnavailable, "away");
    if (Mode == Fault::Late) {
      Held.push_back(Change);
      return failure(ResultCode::StoreAnswerLost, "lost");
    }
    CommitResult Result = apply(Change);
    if (Mode == Fault::AnswerLost)
      return failure(ResultCode::StoreAnswerLost, "lost");
    return Result;
  }

  Expected<std::optional<StoreItem>> read(const std::string &Key) override {
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (Mode == Fault::Away)
      return failure(ResultCode::StoreUnavailable, "away");
    const auto Found = Items.find(Key);
    if (Found == Items.end())
      return std::optional<StoreItem>();
    return std::optional<StoreItem>(Found->second);
  }

  Expected<StoreChanges> list(const std::string &Prefix) override {
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (Mode == Fault::Away)
      return failure(ResultCode::StoreUnavailable, "away");
    StoreChanges All;
    for (const auto &[Key, Item] : Items)
      if (Key.rfind(Prefix, 0) == 0)
        All.Items.push_back(Item);
    All.Revision = Revision;
    return All;
  }

  Expected<StoreChanges> changes(const std::string &Prefix, std::int64_t After,
                                 Milliseconds) override {
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (Mode == Fault::Away)
      return failure(ResultCode::StoreUnavailable, "away");
    if (After < Forgotten)
      return failure(ResultCode::CompareFailed, "history gone");
    StoreChanges News;
    News.Revision = Revision;
    for (const auto &[At, Item] : History)
      if (At > After && Item.Key.rfind(Prefix, 0) == 0)
        News.Items.push_back(Item);
    return News;
  }

  Expected<std::int64_t> grant(Milliseconds) override {
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (Mode == Fault::Away)
      return failure(ResultCode::StoreUnavailable, "away");
    Leases[++LastLease];
    return LastLease;
  }

  Expected<void> renew(std::int64_t Lease) override {
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (Mode == Fault::Away)
      return failure(ResultCode::StoreUnavailable, "away");
    if (!Leases.count(Lease))
      return failure(ResultCode::CompareFailed, "ended");
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
    bool Holds = true;
    for (const StoreCondition &Condition : Change.Conditions) {
      const auto Found = Items.find(Condition.Key);
      const std::int64_t Is = Found == Items.end() ? 0 : Found->second.Revision;
      Holds = Holds && Is == Condition.Revision;
      if (Found != Items.end())
        Result.Current.push_back(Found->second);
    }
    if (!Holds)
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
  Fault Mode = Fault::None;
  int Commits = 0;
  std::int64_t Revision = 1;
  std::int64_t Forgotten = 0;
  std::int64_t LastLease = 0;
  std::map<std::string, StoreItem> Items;
  std::map<std::int64_t, std::vector<std::string>> Leases;
  std::vector<std::pair<std::int64_t, StoreItem>> History;
  std::deque<Transaction> Held;
};

} // namespace baobabcove

#endif // BAOBABCOVE_TESTS_SUPPORT_FAKEKV_H
