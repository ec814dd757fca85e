#include "tasks/intake/StoreFollower.h"

#include "base/Log.h"
#include "base/LogFields.h"

namespace baobabcove {

namespace {

/// Delay between calls to a failing store; with it ten processes stay far below
/// the rate limits of the store.
constexpr Milliseconds RetryDelay{250};
/// A watch is overdue this long after its wait; a slow store of the production
/// sites answers within 240 ms.
constexpr Milliseconds MaxAnswerTime{600};

} // namespace

StoreFollower::StoreFollower(TransactionalStore &Kv, std::string Prefix,
                             Milliseconds Wait, FollowerEvents Events)
    : Kv(Kv), Prefix(std::move(Prefix)), Wait(Wait), Events(std::move(Events)) {
}

StoreFollower::~StoreFollower() { stop(); }

void StoreFollower::start() {
  Thread = std::thread([this] { run(); });
}

void StoreFollower::stop() {
  Stopping = true;
  if (Thread.joinable())
    Thread.join();
}

bool StoreFollower::isCurrent(BootInstant Now) const {
  return confirmedAt() != BootInstant{} && !Unreachable &&
         Now - CalledAt.load() <= Wait + MaxAnswerTime;
}

void StoreFollower::run() {
  while (!Stopping)
    if (!(Revision == 0 ? listAll() : follow()) && !Stopping)
      std::this_thread::sleep_for(RetryDelay);
}

bool StoreFollower::listAll() {
  const BootInstant SentAt = BootClock::now();
  CalledAt = SentAt;
  auto All = Kv.list(Prefix);
  if (!All) {
    noteFailure(All.error());
    return false;
  }
  Revision = All->Revision;
  Events.Listed(*All);
  noteSuccess(SentAt);
  return true;
}

bool StoreFollower::follow() {
  const BootInstant SentAt = BootClock::now();
  CalledAt = SentAt;
  auto News = Kv.changes(Prefix, Revision, Wait);
  if (!News && News.error().Code == ResultCode::CompareFailed) {
    LOG4CPLUS_INFO(logOf("store"),
                   LogFields("store history compacted; listing all keys again")
                       .add("prefix", Prefix)
                       .add("revision", Revision));
    Revision = 0;
    return true;
  }
  if (!News) {
    noteFailure(News.error());
    return false;
  }
  Revision = std::max(Revision, News->Revision);
  if (!News->Items.empty())
    Events.Changed(*News);
  noteSuccess(SentAt);
  return true;
}

void StoreFollower::noteFailure(const Error &Fault) {
  if (!Unreachable)
    LOG4CPLUS_WARN(logOf("store"), LogFields("store lost")
                                       .add("prefix", Prefix)
                                       .add("revision", Revision)
                                       .add("why", Fault.Detail));
  Unreachable = true;
}

void StoreFollower::noteSuccess(BootInstant SentAt) {
  if (Unreachable)
    LOG4CPLUS_INFO(logOf("store"), LogFields("store regained")
                                       .add("prefix", Prefix)
                                       .add("revision", Revision));
  Unreachable = false;
  ConfirmedAt = SentAt;
}

} // namespace baobabcove
