#include "runtime_model/RunPace.h"

#include <algorithm>

namespace baobabcove {

namespace {

constexpr std::uint32_t AllWork = 100;
/// Progress, and time for it, from which a pace is extrapolated: the percent is
/// a whole number, and reports arrive twice a second.
constexpr std::uint32_t MinMeasuredPercent = 5;
constexpr Milliseconds MinMeasuredTime{1000};
/// A run that was first listed with less work left than this tells too little
/// about the duration of all work.
constexpr std::uint32_t MinListedShare = 25;

Milliseconds atPace(double MsPerPercent, std::uint32_t Percent) {
  return Milliseconds(
      static_cast<std::int64_t>(MsPerPercent * static_cast<double>(Percent)));
}

} // namespace

void RunPace::note(std::uint32_t NewPercent, BootInstant At) {
  if (!Listed || NewPercent < Percent) {
    Listed = true;
    Changed = false;
    ListedAt = PaceFrom = ChangedAt = At;
    ListedPercent = PaceFromPercent = Percent = NewPercent;
    return;
  }
  if (NewPercent == Percent)
    return;
  if (!Changed) {
    Changed = true;
    PaceFrom = At;
    PaceFromPercent = NewPercent;
  }
  Percent = NewPercent;
  ChangedAt = At;
}

std::optional<double> RunPace::msPerPercent() const {
  if (measuredPercent() == 0)
    return std::nullopt;
  return static_cast<double>((ChangedAt - PaceFrom).count()) /
         static_cast<double>(measuredPercent());
}

std::optional<Milliseconds> RunPace::projected() const {
  if (measuredPercent() < MinMeasuredPercent ||
      ChangedAt - PaceFrom < MinMeasuredTime)
    return std::nullopt;
  return atPace(*msPerPercent(), AllWork);
}

std::optional<Milliseconds> RunPace::remaining(BootInstant Now) const {
  const auto Whole = projected();
  if (!Whole)
    return std::nullopt;
  const Milliseconds AtChange =
      atPace(*msPerPercent(), AllWork - std::min(Percent, AllWork));
  return std::max(AtChange - (Now - ChangedAt), Milliseconds(0));
}

std::optional<Milliseconds> RunPace::whole(BootInstant End) const {
  if (!Listed || (Resumed && ListedPercent == 0))
    return std::nullopt;
  // The time that a resumed run takes to restore its state is not work.
  const bool FromChange = Resumed && Changed;
  const std::uint32_t Before =
      std::min(FromChange ? PaceFromPercent : ListedPercent, AllWork);
  if (AllWork - Before < MinListedShare)
    return std::nullopt;
  const double Measured =
      static_cast<double>((End - (FromChange ? PaceFrom : ListedAt)).count());
  return atPace(Measured / static_cast<double>(AllWork - Before), AllWork);
}

} // namespace baobabcove
