#include "tasks/agent/StartLimit.h"
#include "tasks/planning/Evacuations.h"

#include <algorithm>
#include <deque>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

namespace {

using Ms = std::int64_t;

constexpr Ms Bound = 5000;
constexpr Ms DayLength = 20000;
constexpr Ms Step = 5;
const DataCentreName Centre("z0");

BootInstant at(Ms Time) { return BootInstant(Milliseconds(Time)); }

/// One agent and two entries, either of which may answer as the coordinator,
/// with a store that is away for a while. Calls are delayed, lost and answered
/// out of order, and processes are paused.
class BoundModel {
public:
  explicit BoundModel(unsigned Seed) : Random(Seed) {
    EvacuatedAt = 6000 + between(0, 4000);
    // An outage often begins just after the acknowledgement.
    AwayFrom =
        between(0, 1) ? EvacuatedAt + between(0, 50) : between(3000, 9000);
    AwayUntil = AwayFrom + between(4000, 9000);
    AgentClockRate = between(0, 1) ? 0.98 : 1;
  }

  void run() {
    for (Now = 1000; Now < DayLength; Now += Step) {
      for (EntryModel &Entry : Entries)
        follow(Entry);
      exchange();
      if (Limit.allows(agentClock(Now))) {
        ++(Now < EvacuatedAt ? AllowedBefore : AllowedAfter);
        LastAllowed = Now;
      }
      // The worker refuses starts that it receives after this time.
      if (Limit.until() != BootInstant::max())
        LastDeadline = std::max(
            LastDeadline, Ms(double(Limit.until().time_since_epoch().count()) /
                             AgentClockRate));
    }
  }

  Ms EvacuatedAt = 0;
  Ms LastAllowed = 0;
  Ms LastDeadline = 0;
  int AllowedBefore = 0;
  int AllowedAfter = 0;

private:
  struct EntryModel {
    Evacuations Known;
    /// The current watch: when it was sent and ends, and what it returns.
    Ms SentAt = 0;
    Ms EndsAt = 0;
    bool IsAnswered = false;
    bool FindsEvacuation = false;
    Ms PausedUntil = 0;
  };
  /// A call of the agent, which reaches an entry and may be answered.
  struct Call {
    Ms SentAt;
    Ms ArrivesAt;
    Ms AnsweredAt;
    Ms DeliveredAt;
    std::size_t Entry;
    bool HasAnswer = false;
    wire::TaskOrders Answer;
  };

  Ms between(Ms Low, Ms High) {
    return std::uniform_int_distribution<Ms>(Low, High)(Random);
  }
  BootInstant agentClock(Ms Time) const {
    return at(Ms(double(Time) * AgentClockRate));
  }

  void follow(EntryModel &Entry) {
    if (between(0, 2000) == 0)
      Entry.PausedUntil = Now + between(100, 4000);
    if (Now < Entry.PausedUntil || Now < Entry.EndsAt)
      return;
    if (Entry.IsAnswered) {
      Entry.Known.ConfirmedAt = at(Entry.SentAt);
      if (Entry.FindsEvacuation)
        Entry.Known.Active[Centre] = {1, at(Now)};
    }
    const Ms ReadAt = Now + between(0, 1000);
    Entry.SentAt = Now;
    Entry.IsAnswered = ReadAt < AwayFrom || ReadAt >= AwayUntil;
    Entry.FindsEvacuation = ReadAt >= EvacuatedAt;
    Entry.EndsAt = ReadAt + between(0, Entry.IsAnswered ? 240 : 1200);
  }

  void exchange() {
    if (Calls.size() < 3 && between(0, 20) == 0) {
      Call Next;
      Next.SentAt = Now;
      Next.ArrivesAt = Now + between(0, 700);
      Next.AnsweredAt = Next.ArrivesAt + between(0, 1000);
      Next.DeliveredAt = Next.AnsweredAt + between(0, 1500);
      Next.Entry = std::size_t(between(0, 1));
      Calls.push_back(Next);
    }
    for (Call &Each : Calls) {
      EntryModel &Entry = Entries[Each.Entry];
      if (Each.HasAnswer || Now < Each.AnsweredAt || Now < Entry.PausedUntil)
        continue;
      const BootInstant Until =
          StartRules(Entry.Known, Milliseconds(Bound)).startsUntil(Centre);
      Each.Answer.set_starts_limited(true);
      Each.Answer.set_starts_for_ms(static_cast<std::uint32_t>(
          std::max(Until - at(Each.ArrivesAt), Milliseconds(0)).count()));
      Each.HasAnswer = true;
      Each.DeliveredAt = std::max(Each.DeliveredAt, Now);
    }
    const auto Delivered = std::stable_partition(
        Calls.begin(), Calls.end(), [&](const Call &Each) {
          return !Each.HasAnswer || Now < Each.DeliveredAt;
        });
    for (auto Each = Delivered; Each != Calls.end(); ++Each)
      if (between(0, 9) > 0)
        Limit.apply(Each->Answer, agentClock(Each->SentAt));
    Calls.erase(Delivered, Calls.end());
  }

  std::mt19937 Random;
  Ms Now = 0;
  Ms AwayFrom = 0;
  Ms AwayUntil = 0;
  double AgentClockRate = 1;
  EntryModel Entries[2];
  std::deque<Call> Calls;
  StartLimit Limit;
};

} // namespace

TEST_GROUP(EvacuationBound){};

// Pattern: by some order of outages, pauses, delays and takeovers, a start is
// sent into an evacuated data centre, or still valid there, after the bound.
TEST(EvacuationBound, HoldsUnderEveryDelayOfStoreEntriesAndAgent) {
  int AllowedBefore = 0;
  int AllowedAfter = 0;
  for (unsigned Seed = 1; Seed <= 400; ++Seed) {
    BoundModel Model(Seed);
    Model.run();
    const std::string Text = "seed " + std::to_string(Seed);
    CHECK_TEXT(Model.LastAllowed <= Model.EvacuatedAt + Bound, Text.c_str());
    CHECK_TEXT(Model.LastDeadline <= Model.EvacuatedAt + Bound, Text.c_str());
    AllowedBefore += Model.AllowedBefore;
    AllowedAfter += Model.AllowedAfter;
  }
  // The model is not vacuous: starts are allowed most of the time before, and
  // some after, by answers that were given earlier.
  CHECK_TRUE(AllowedBefore > 400 * 500);
  CHECK_TRUE(AllowedAfter > 400);
}
