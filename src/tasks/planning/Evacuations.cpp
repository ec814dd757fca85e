#include "tasks/planning/Evacuations.h"

#include <algorithm>

namespace baobabcove {

namespace {

/// Part of the bound that is kept for the worker to carry out a start that its
/// agent has sent: a tenth, 500 ms on the production sites.
constexpr int DeliveryShare = 10;
/// New orders are made only if at least this much time is left to send them:
/// the write of the placement to a slow store and the agent's call take 0.5 s.
constexpr Milliseconds MinTimeForOrder{500};

} // namespace

StartRules::StartRules(Evacuations Known, Milliseconds Bound)
    : Known(std::move(Known)), Bound(Bound) {}

bool StartRules::isEvacuated(const DataCentreName &Centre) const {
  return Known.Active.count(Centre) > 0;
}

BootInstant StartRules::startsUntil(const DataCentreName &Centre) const {
  if (isEvacuated(Centre))
    return BootInstant{};
  if (Bound.count() == 0)
    return BootInstant::max();
  if (Known.ConfirmedAt == BootInstant{})
    return BootInstant{};
  return Known.ConfirmedAt + Bound - Bound / DeliveryShare;
}

bool StartRules::isFresh(BootInstant Now) const {
  if (Bound.count() == 0)
    return true;
  return Known.ConfirmedAt != BootInstant{} &&
         Now + MinTimeForOrder <
             Known.ConfirmedAt + Bound - Bound / DeliveryShare;
}

std::size_t StartRules::openWorkers(const DataCentreName &Centre,
                                    std::size_t Workers,
                                    BootInstant Now) const {
  const auto Restored = Known.RestoredAt.find(Centre);
  if (Restored == Known.RestoredAt.end())
    return Workers;
  const Milliseconds Since = Now - Restored->second;
  if (Since >= RestoreRamp)
    return Workers;
  const double Share = double(std::max(Since, Milliseconds(0)).count()) /
                       double(RestoreRamp.count());
  return std::min(Workers, 1 + static_cast<std::size_t>(Share * Workers));
}

std::vector<bool>
StartRules::takeStarts(const std::vector<DataCentreName> &Centres,
                       BootInstant Now) const {
  if (!isFresh(Now))
    return std::vector<bool>(Centres.size(), false);
  std::map<DataCentreName, std::size_t> Open;
  for (const DataCentreName &Centre : Centres)
    ++Open[Centre];
  for (auto &[Centre, Workers] : Open)
    Workers = isEvacuated(Centre) ? 0 : openWorkers(Centre, Workers, Now);
  std::vector<bool> Takes;
  Takes.reserve(Centres.size());
  for (const DataCentreName &Centre : Centres) {
    std::size_t &Left = Open[Centre];
    Takes.push_back(Left > 0);
    Left -= Left > 0 ? 1 : 0;
  }
  return Takes;
}

std::string namesOf(const Evacuations &Known) {
  std::string Names;
  for (const auto &[Centre, Order] : Known.Active)
    Names += (Names.empty() ? "" : " ") + Centre.str();
  return Names;
}

} // namespace baobabcove
