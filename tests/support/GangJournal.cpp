#include "GangJournal.h"

#include <algorithm>
#include <sstream>

namespace baobabcove::testing {

namespace {

/// Parts of one attempt run from the first start to the last end.
struct AttemptSpan {
  std::int64_t Start = INT64_MAX;
  std::int64_t End = 0;
  std::uint32_t Accelerators = 0;
};

void closeAll(std::map<std::string, PartRun> &Open, std::int64_t At,
              std::vector<PartRun> &Result) {
  for (auto &[Name, Part] : Open) {
    Part.End = At;
    Part.How = "killed";
    Result.push_back(Part);
  }
  Open.clear();
}

} // namespace

std::vector<PartRun> readParts(const std::vector<std::string> &Lines) {
  std::map<std::string, PartRun> Open;
  std::vector<PartRun> Result;
  std::int64_t LastAlive = 0;
  for (const std::string &Line : Lines) {
    std::istringstream Words(Line);
    std::int64_t Time = 0;
    std::string Event;
    std::string Name;
    std::string Detail;
    Words >> Time >> Event >> Name >> Detail;
    // What a killed worker had open ended with the last sign of its life.
    if (Event == "boot")
      closeAll(Open, LastAlive, Result);
    LastAlive = Time;
    const std::size_t Dot = Name.rfind('.');
    if (Dot == std::string::npos)
      continue;
    PartRun &Part = Open[Name];
    if (Event == "start") {
      Part.Job = Name.substr(0, Dot);
      Part.Attempt = std::stoull(Name.substr(Dot + 1));
      Part.Start = Time;
      Part.Accelerators = static_cast<std::uint32_t>(std::stoul(Detail));
    } else if (Event == "end") {
      Part.End = Time;
      Part.How = Detail;
      Result.push_back(Part);
      Open.erase(Name);
    }
  }
  closeAll(Open, LastAlive, Result);
  return Result;
}

std::vector<std::string>
gangFaults(const std::vector<PartRun> &Parts,
           const std::map<std::string, std::uint32_t> &GangSize,
           std::int64_t LeaseMs) {
  std::map<std::string, std::map<std::uint64_t, AttemptSpan>> Jobs;
  for (const PartRun &Part : Parts) {
    AttemptSpan &Span = Jobs[Part.Job][Part.Attempt];
    Span.Start = std::min(Span.Start, Part.Start);
    Span.End = std::max(Span.End, Part.End);
    Span.Accelerators += Part.Accelerators;
  }
  std::vector<std::string> Faults;
  for (const auto &[Job, Attempts] : Jobs) {
    const auto Size = GangSize.find(Job);
    std::int64_t LastEnd = 0;
    for (const auto &[Number, Span] : Attempts) {
      if (Span.Start < LastEnd)
        Faults.push_back("attempt " + std::to_string(Number) + " of " + Job +
                         " began before the one before had ended");
      LastEnd = std::max(LastEnd, Span.End);
      const bool Whole =
          Size == GangSize.end() || Span.Accelerators == Size->second;
      if (!Whole && Span.End - Span.Start > LeaseMs)
        Faults.push_back("attempt " + std::to_string(Number) + " of " + Job +
                         " ran in part for " +
                         std::to_string(Span.End - Span.Start) + " ms");
    }
  }
  return Faults;
}

} // namespace baobabcove::testing
