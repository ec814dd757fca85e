#include "scheduler/Cluster.h"

#include <limits>

namespace baobabcove {

namespace {

std::int64_t quotient(std::int64_t Available, std::int64_t PerTask) {
  if (PerTask <= 0)
    return std::numeric_limits<std::int32_t>::max();
  return Available <= 0 ? 0 : Available / PerTask;
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

std::uint32_t Capacity::tasksThatFit(const Demand &Need) const {
  if (!isNonNegative())
    return 0;
  const std::int64_t Fitting = std::min(
      {quotient(Accelerators, Need.Accelerators), quotient(Cores, Need.Cores),
       quotient(MemoryMb, static_cast<std::int64_t>(Need.MemoryMb))});
  return static_cast<std::uint32_t>(
      std::min<std::int64_t>(Fitting, Need.Tasks));
}

WorkerIndex Cluster::indexFor(const NodeId &Id) {
  const auto Known = ById.find(Id);
  if (Known != ById.end())
    return Known->second;
  // A replacement worker has a new name; reuse the entry of an absent worker
  // without gangs.
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

WorkerIndex Cluster::addOrUpdate(const WorkerInfo &Info) {
  const WorkerIndex Index = indexFor(Info.Id);
  Worker &Updated = Workers[Index];
  const bool Moved = !Updated.Present || !sameLocation(Updated.Info, Info);
  const Capacity Before = capacityOf(Updated.Info);
  const Capacity After = capacityOf(Info);
  Updated.Free.Accelerators += After.Accelerators - Before.Accelerators;
  Updated.Free.Cores += After.Cores - Before.Cores;
  Updated.Free.MemoryMb += After.MemoryMb - Before.MemoryMb;
  Updated.Info = Info;
  Updated.Present = true;
  Largest = std::max(Largest, Info.Accelerators);
  if (Moved)
    rebuildGroups();
  return Index;
}

void Cluster::markLost(WorkerIndex Index) {
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

void Cluster::allocate(const std::vector<Member> &Members, const Demand &Need) {
  for (const Member &Each : Members) {
    Workers[Each.Worker].Free.add(Need, -std::int64_t(Each.Tasks));
    ++Workers[Each.Worker].Gangs;
  }
}

void Cluster::deallocate(const std::vector<Member> &Members,
                         const Demand &Need) {
  for (const Member &Each : Members) {
    Workers[Each.Worker].Free.add(Need, Each.Tasks);
    --Workers[Each.Worker].Gangs;
  }
}

void Cluster::setBeingFreed(const std::vector<Member> &Members,
                            const Demand &Need, bool BeingFreed) {
  for (const Member &Each : Members) {
    const std::int64_t Tasks = Each.Tasks;
    Workers[Each.Worker].BeingFreed.add(Need, BeingFreed ? Tasks : -Tasks);
  }
}

const std::vector<Group> &Cluster::AdjacencyGroups::at(Adjacency Near) const {
  switch (Near) {
  case Adjacency::SameWorker:
    return SingleWorkers;
  case Adjacency::SameRack:
    return Racks;
  case Adjacency::SameDataCentre:
    return DataCentres;
  case Adjacency::Any:
    break;
  }
  return AllWorkers;
}

const std::vector<Group> &Cluster::groups(Adjacency Near) const {
  return PresentGroups.at(Near);
}

const std::vector<Group> &Cluster::knownGroups(Adjacency Near) const {
  return KnownGroups.at(Near);
}

std::uint32_t Cluster::tasksWhenEmpty(const Worker &W, const Demand &Need) {
  return capacityOf(W.Info).tasksThatFit(Need);
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
  PresentGroups = buildGroups(false);
  KnownGroups = buildGroups(true);
  Largest = 0;
  for (const Worker &Each : Workers)
    if (Each.Present)
      Largest = std::max(Largest, Each.Info.Accelerators);
  RackOf.assign(Workers.size(), 0);
  for (std::size_t Rack = 0; Rack < PresentGroups.Racks.size(); ++Rack)
    for (WorkerIndex I : PresentGroups.Racks[Rack])
      RackOf[I] = Rack;
}

std::int64_t Cluster::freeInRack(WorkerIndex Index) const {
  std::int64_t Free = 0;
  for (WorkerIndex I : PresentGroups.Racks[RackOf[Index]])
    if (Workers[I].usable())
      Free += std::max<std::int64_t>(0, Workers[I].Free.Accelerators);
  return Free;
}

Cluster::AdjacencyGroups Cluster::buildGroups(bool IncludeAbsent) const {
  std::map<std::string, Group> ByRack;
  std::map<std::string, Group> ByDataCentre;
  AdjacencyGroups Result;
  Result.AllWorkers.assign(1, Group());
  for (WorkerIndex I = 0; I < Workers.size(); ++I) {
    const Worker &Each = Workers[I];
    if (!Each.Present && !IncludeAbsent)
      continue;
    const std::string DataCentre =
        Each.Info.Place.str() + "/" + Each.Info.DataCentre.str();
    ByRack[DataCentre + "/" + Each.Info.Rack.str()].push_back(I);
    ByDataCentre[DataCentre].push_back(I);
    Result.SingleWorkers.push_back({I});
    Result.AllWorkers[0].push_back(I);
  }
  const auto Values = [](std::map<std::string, Group> &From) {
    std::vector<Group> Groups;
    Groups.reserve(From.size());
    for (auto &[Name, InGroup] : From)
      Groups.push_back(std::move(InGroup));
    return Groups;
  };
  Result.Racks = Values(ByRack);
  Result.DataCentres = Values(ByDataCentre);
  return Result;
}

} // namespace baobabcove
