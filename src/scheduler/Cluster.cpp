#include "scheduler/Cluster.h"

#include <limits>

namespace baobabcove {

namespace {

std::int64_t quotient(std::int64_t Have, std::int64_t Each) {
  if (Each <= 0)
    return std::numeric_limits<std::int32_t>::max();
  return Have <= 0 ? 0 : Have / Each;
}

Capacity capacityOf(const WorkerInfo &Info) {
  return {Info.Accelerators, Info.Cores,
          static_cast<std::int64_t>(Info.MemoryMb)};
}

bool sameLocation(const WorkerInfo &Left, const WorkerInfo &Right) {
  return Left.Place == Right.Place && Left.DataCentre == Right.DataCentre &&
         Left.Rack == Right.Rack;
}

} // namespace

Demand demandOf(const JobInfo &Info) {
  return {Info.Tasks, Info.AcceleratorsPerTask, Info.CoresPerTask,
          Info.MemoryMbPerTask, Info.Near};
}

std::uint32_t Capacity::tasks(const Demand &Need) const {
  if (!covered())
    return 0;
  const std::int64_t Fitting = std::min(
      {quotient(Accelerators, Need.Accelerators), quotient(Cores, Need.Cores),
       quotient(MemoryMb, static_cast<std::int64_t>(Need.MemoryMb))});
  return static_cast<std::uint32_t>(
      std::min<std::int64_t>(Fitting, Need.Tasks));
}

WorkerIndex Cluster::slotFor(const NodeId &Id) {
  const auto Known = ById.find(Id);
  if (Known != ById.end())
    return Known->second;
  // A replaced worker comes back under another name; its slot is used again.
  for (WorkerIndex I = 0; I < Workers.size(); ++I) {
    if (Workers[I].Present || Workers[I].Gangs != 0)
      continue;
    ById.erase(Workers[I].Info.Id);
    Workers[I] = Worker();
    ById[Id] = I;
    return I;
  }
  Workers.emplace_back();
  const auto Index = static_cast<WorkerIndex>(Workers.size() - 1);
  ById[Id] = Index;
  return Index;
}

WorkerIndex Cluster::see(const WorkerInfo &Info) {
  const WorkerIndex Index = slotFor(Info.Id);
  Worker &Seen = Workers[Index];
  const bool Moved = !Seen.Present || !sameLocation(Seen.Info, Info);
  const Capacity Before = capacityOf(Seen.Info);
  const Capacity After = capacityOf(Info);
  Seen.Free.Accelerators += After.Accelerators - Before.Accelerators;
  Seen.Free.Cores += After.Cores - Before.Cores;
  Seen.Free.MemoryMb += After.MemoryMb - Before.MemoryMb;
  Seen.Info = Info;
  Seen.Present = true;
  Largest = std::max(Largest, Info.Accelerators);
  if (Moved)
    rebuildGroups();
  return Index;
}

void Cluster::lose(WorkerIndex Index) {
  Workers[Index].Present = false;
  rebuildGroups();
}

void Cluster::setQuarantined(WorkerIndex Index, bool Quarantined) {
  Workers[Index].Quarantined = Quarantined;
}

bool Cluster::find(const NodeId &Id, WorkerIndex &Index) const {
  const auto Known = ById.find(Id);
  if (Known == ById.end())
    return false;
  Index = Known->second;
  return true;
}

void Cluster::take(const std::vector<Member> &Members, const Demand &Need) {
  for (const Member &Each : Members) {
    Workers[Each.Worker].Free.add(Need, -std::int64_t(Each.Tasks));
    ++Workers[Each.Worker].Gangs;
  }
}

void Cluster::give(const std::vector<Member> &Members, const Demand &Need) {
  for (const Member &Each : Members) {
    Workers[Each.Worker].Free.add(Need, Each.Tasks);
    --Workers[Each.Worker].Gangs;
  }
}

void Cluster::setLeaving(const std::vector<Member> &Members, const Demand &Need,
                         bool Leaving) {
  for (const Member &Each : Members) {
    const std::int64_t Tasks = Each.Tasks;
    Workers[Each.Worker].Leaving.add(Need, Leaving ? Tasks : -Tasks);
  }
}

const std::vector<Group> &Cluster::Levels::at(Adjacency Near) const {
  switch (Near) {
  case Adjacency::SameWorker:
    return Singles;
  case Adjacency::SameRack:
    return Racks;
  case Adjacency::SameDataCentre:
    return DataCentres;
  case Adjacency::Any:
    break;
  }
  return Everything;
}

const std::vector<Group> &Cluster::groups(Adjacency Near) const {
  return Present.at(Near);
}

const std::vector<Group> &Cluster::knownGroups(Adjacency Near) const {
  return Known.at(Near);
}

std::uint32_t Cluster::tasksWhenEmpty(const Worker &Which, const Demand &Need) {
  return capacityOf(Which.Info).tasks(Need);
}

std::uint64_t Cluster::totalAccelerators() const {
  std::uint64_t Total = 0;
  for (const Worker &Each : Workers)
    Total += Each.Present ? Each.Info.Accelerators : 0;
  return Total;
}

std::uint64_t Cluster::freeAccelerators() const {
  std::uint64_t Total = 0;
  for (const Worker &Each : Workers)
    if (Each.usable() && Each.Free.Accelerators > 0)
      Total += static_cast<std::uint64_t>(Each.Free.Accelerators);
  return Total;
}

void Cluster::rebuildGroups() {
  Present = group(false);
  Known = group(true);
  Largest = 0;
  for (const Worker &Each : Workers)
    if (Each.Present)
      Largest = std::max(Largest, Each.Info.Accelerators);
  RackOf.assign(Workers.size(), 0);
  for (std::size_t Rack = 0; Rack < Present.Racks.size(); ++Rack)
    for (WorkerIndex I : Present.Racks[Rack])
      RackOf[I] = Rack;
}

std::int64_t Cluster::freeInRack(WorkerIndex Index) const {
  std::int64_t Free = 0;
  for (WorkerIndex I : Present.Racks[RackOf[Index]])
    if (Workers[I].usable())
      Free += std::max<std::int64_t>(0, Workers[I].Free.Accelerators);
  return Free;
}

Cluster::Levels Cluster::group(bool WithAbsent) const {
  std::map<std::string, Group> ByRack;
  std::map<std::string, Group> ByDataCentre;
  Levels Result;
  Result.Everything.assign(1, Group());
  for (WorkerIndex I = 0; I < Workers.size(); ++I) {
    const Worker &Each = Workers[I];
    if (!Each.Present && !WithAbsent)
      continue;
    const std::string DataCentre =
        Each.Info.Place.str() + "/" + Each.Info.DataCentre.str();
    ByRack[DataCentre + "/" + Each.Info.Rack.str()].push_back(I);
    ByDataCentre[DataCentre].push_back(I);
    Result.Singles.push_back({I});
    Result.Everything[0].push_back(I);
  }
  const auto Values = [](std::map<std::string, Group> &From) {
    std::vector<Group> Groups;
    Groups.reserve(From.size());
    for (auto &[Name, Together] : From)
      Groups.push_back(std::move(Together));
    return Groups;
  };
  Result.Racks = Values(ByRack);
  Result.DataCentres = Values(ByDataCentre);
  return Result;
}

} // namespace baobabcove
