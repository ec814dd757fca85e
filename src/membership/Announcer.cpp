#include "membership/Announcer.h"

#include "base/Log.h"

#include <algorithm>

namespace baobabcove {

namespace {

constexpr Milliseconds LeastPatience{1000};
/// A learned entry that has not answered for this long is given up.
constexpr Milliseconds GiveUpAfter{30000};
constexpr std::size_t MaxLines = 16;

} // namespace

Announcer::Announcer(RpcPeers &Peers, ConfigurationKeeper &Keeper,
                     Milliseconds Period, BeatSource Source,
                     ReplyListener Listener)
    : Peers(Peers), Keeper(Keeper), Period(Period), Source(std::move(Source)),
      Listener(std::move(Listener)) {}

Announcer::~Announcer() { stop(); }

void Announcer::add(const std::string &Address, bool Seed) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (Stopping)
    return;
  for (auto It = Lines.begin(); It != Lines.end();) {
    if (!It->second->Ended) {
      ++It;
      continue;
    }
    It->second->Thread.join();
    It = Lines.erase(It);
  }
  if (Lines.count(Address) != 0 || Lines.size() >= MaxLines)
    return;
  auto Fresh = std::make_unique<Line>();
  Fresh->Address = Address;
  Fresh->AnsweredAt = monotonicNow();
  Fresh->Seed = Seed;
  Line &Mine = *Fresh;
  Lines[Address] = std::move(Fresh);
  Mine.Thread = std::thread([this, &Mine] { run(Mine); });
}

void Announcer::nudge() {
  const std::lock_guard<std::mutex> Lock(Mutex);
  ++Nudges;
  Wake.notify_all();
}

bool Announcer::tellAll(Milliseconds Patience) {
  std::unique_lock<std::mutex> Lock(Mutex);
  const std::uint64_t Wanted = ++Nudges;
  Wake.notify_all();
  return Answered.wait_for(Lock, Patience, [&] {
    return std::all_of(Lines.begin(), Lines.end(), [&](const auto &Each) {
      const Line &Of = *Each.second;
      return Of.Ended || !Of.Answers || Of.Told >= Wanted;
    });
  });
}

void Announcer::stop() {
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Stopping = true;
    Wake.notify_all();
  }
  // No line is added once Stopping is set, so the map may be walked unlocked.
  for (auto &[Address, Each] : Lines)
    if (Each->Thread.joinable())
      Each->Thread.join();
}

std::vector<std::string> Announcer::answering() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const Instant Now = monotonicNow();
  std::vector<std::string> Result;
  for (const auto &[Address, Each] : Lines)
    if (!Each->Ended && Each->Answers &&
        Now - Each->AnsweredAt < 2 * Period + LeastPatience)
      Result.push_back(Address);
  return Result;
}

bool Announcer::beatOnce(Line &Mine, std::uint64_t NudgesSeen) {
  const Instant SentAt = monotonicNow();
  const auto Reply =
      Peers.beat(Mine.Address, Source(), std::max(LeastPatience, 2 * Period));
  if (!Reply) {
    // The connection may be silent for good; the next beat opens another.
    Peers.forget(Mine.Address);
    const std::lock_guard<std::mutex> Lock(Mutex);
    Mine.Answers = false;
    Answered.notify_all();
    return false;
  }
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Mine.AnsweredAt = monotonicNow();
    Mine.Answers = true;
    Mine.Told = NudgesSeen;
    Answered.notify_all();
  }
  learn(*Reply, SentAt);
  return true;
}

void Announcer::learn(const wire::HeartbeatReply &Reply, Instant SentAt) {
  if (Reply.has_configuration())
    Keeper.offer(Reply.configuration());
  Listener(Reply, SentAt);
  for (const auto &Entry : Reply.entries())
    add(Entry.rpc_address(), false);
}

void Announcer::run(Line &Mine) {
  std::uint64_t Seen = 0;
  bool Last = false;
  while (!Last) {
    {
      const std::lock_guard<std::mutex> Lock(Mutex);
      Seen = Nudges;
      Last = Stopping;
    }
    const bool WasAnswered = beatOnce(Mine, Seen);
    std::unique_lock<std::mutex> Lock(Mutex);
    if (!WasAnswered && !Mine.Seed &&
        monotonicNow() - Mine.AnsweredAt > GiveUpAfter)
      break;
    if (!Last)
      Wake.wait_for(Lock, Period, [&] { return Stopping || Nudges != Seen; });
  }
  const std::lock_guard<std::mutex> Lock(Mutex);
  Mine.Ended = true;
}

} // namespace baobabcove
