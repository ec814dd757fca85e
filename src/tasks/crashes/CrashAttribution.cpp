#include "tasks/crashes/CrashAttribution.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <tuple>

namespace baobabcove {

namespace {

/// A unit is given up at this number of certain crashes.
constexpr std::size_t MaxCertainCrashes = 3;
constexpr std::size_t MinCertainNodes = 2;
/// A unit with this number of crashes of any kind is always isolated.
constexpr std::size_t MaxCrashesBesideOthers = 3;
/// Without such certainty, a unit is given up at this number, of which some had
/// no other candidate.
constexpr std::size_t MaxUncertainCrashes = 5;
constexpr std::size_t MinCrashesAlone = 2;
/// A long-running unit is never given up; only its latest crashes are kept.
constexpr std::size_t MaxRecordedCrashes = 16;

std::vector<CrashCandidate>
youngerThan(Milliseconds Limit, const std::vector<CrashCandidate> &Candidates) {
  std::vector<CrashCandidate> Younger;
  std::copy_if(Candidates.begin(), Candidates.end(),
               std::back_inserter(Younger),
               [&](const CrashCandidate &Candidate) {
                 return Candidate.SeenAlive < Limit;
               });
  return Younger;
}

} // namespace

bool CrashHistory::record(Blame Certainty, const NodeId &Node,
                          std::uint64_t NewRun) {
  if (Run == NewRun)
    return false;
  Run = NewRun;
  Suspect = true;
  Alone += Certainty == Blame::Shared ? 0 : 1;
  auto &Nodes = Certainty == Blame::Certain ? CertainNodes : PossibleNodes;
  if (Nodes.size() == MaxRecordedCrashes)
    Nodes.erase(Nodes.begin());
  Nodes.push_back(Node);
  return true;
}

bool CrashHistory::provesUnitDeadly() const {
  if (crashes() >= MaxUncertainCrashes && Alone >= MinCrashesAlone)
    return true;
  const std::set<NodeId> Distinct(CertainNodes.begin(), CertainNodes.end());
  return CertainNodes.size() >= MaxCertainCrashes &&
         Distinct.size() >= MinCertainNodes;
}

bool CrashHistory::requiresIsolation() const {
  return !CertainNodes.empty() || crashes() >= MaxCrashesBesideOthers;
}

bool CrashHistory::outweighs(const CrashHistory &Other) const {
  const auto Weight = [](const CrashHistory &History) {
    return std::make_tuple(History.requiresIsolation(), History.crashes(),
                           History.CertainNodes.size());
  };
  return Weight(*this) > Weight(Other);
}

std::vector<NodeId> CrashHistory::nodes() const {
  std::vector<NodeId> All = CertainNodes;
  All.insert(All.end(), PossibleNodes.begin(), PossibleNodes.end());
  return All;
}

wire::CrashRecord CrashHistory::toRecord() const {
  wire::CrashRecord Record;
  for (const NodeId &Node : CertainNodes)
    Record.add_certain_nodes(Node.str());
  for (const NodeId &Node : PossibleNodes)
    Record.add_possible_nodes(Node.str());
  Record.set_alone(Alone);
  Record.set_run(Run);
  Record.set_suspect(Suspect);
  return Record;
}

CrashHistory CrashHistory::fromRecord(const wire::CrashRecord &Record) {
  CrashHistory History;
  for (const std::string &Node : Record.certain_nodes())
    History.CertainNodes.emplace_back(Node);
  for (const std::string &Node : Record.possible_nodes())
    History.PossibleNodes.emplace_back(Node);
  History.Alone = Record.alone();
  History.Run = Record.run();
  History.Suspect = Record.suspect();
  return History;
}

CrashAttribution attributeCrash(const std::vector<CrashCandidate> &Candidates) {
  CrashAttribution Result;
  std::vector<CrashCandidate> Blamed = youngerThan(Probation, Candidates);
  const bool IsImmediate = !Blamed.empty();
  if (!IsImmediate)
    Blamed = youngerThan(ProvenAfter, Candidates);
  for (const CrashCandidate &Candidate : Blamed)
    Result.Units.push_back(Candidate.Unit);
  if (Blamed.size() == 1)
    Result.Certainty = IsImmediate && Blamed.front().HasStarted ? Blame::Certain
                                                                : Blame::Alone;
  return Result;
}

} // namespace baobabcove
