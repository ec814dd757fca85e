#include "tasks/coordination/TombstoneSweeper.h"

#include "base/Log.h"
#include "base/LogFields.h"
#include "tasks/StoreKeys.h"

#include <algorithm>

#include <Poco/NumberParser.h>

namespace baobabcove {

namespace {

constexpr Milliseconds ListPeriod{30000};
/// The store accepts 32 entries per transaction; one is the condition on the
/// role key.
constexpr std::size_t RemovalsPerWrite = 31;

} // namespace

void TombstoneSweeper::findExpired(const ClockReading &Now) {
  const auto All = Kv.list(keys::Tombstones);
  if (!All)
    return;
  for (const StoreItem &Item : All->Items) {
    Poco::Int64 CreatedMs = 0;
    if (!Poco::NumberParser::tryParse64(Item.Value, CreatedMs) ||
        Now.UnixMs - CreatedMs > Retention.count())
      Expired.push_back(Item.Key);
  }
}

void TombstoneSweeper::sweep(const CoordinatorTerm &Term,
                             const ClockReading &Now) {
  if (Expired.empty() && Now.Boot - ListedAt >= ListPeriod) {
    ListedAt = Now.Boot;
    findExpired(Now);
  }
  if (Expired.empty())
    return;
  const std::size_t Count = std::min(Expired.size(), RemovalsPerWrite);
  Transaction Change;
  Change.Conditions.push_back({keys::Coordinator, Term.Revision});
  Change.Removals.assign(Expired.end() - static_cast<std::ptrdiff_t>(Count),
                         Expired.end());
  // Whatever is not removed now is found by the next listing.
  Expired.resize(Expired.size() - Count);
  const auto Result = Kv.commit(Change);
  if (!Result || !Result->Revision) {
    Expired.clear();
    return;
  }
  LOG4CPLUS_INFO(logOf("jobs"),
                 LogFields("tombstones removed").add("count", Count));
}

} // namespace baobabcove
