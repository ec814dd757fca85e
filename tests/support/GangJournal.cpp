#include "GangJournal.h"

#include <algorithm>
#include <sstream>

namespace baobabcove::testing {

namespace {

/// Time from the first start to the last end of the parts of an attempt, and
/// the accelerators of all parts.
struct AttemptSpan {
  std::int64_t Start = INT64_MAX;
  std::int64_t End = 0;
  std::uint32_t Accelerators = 0;
};

/// Moves the runs without an end to \p Result, as killed at \p At.
void endOpenRuns(std::map<std::string, PartRun> &Open, std::int64_t At,
                 std::vector<PartRun> &Result) {
  for (auto &[PartName, Part] : Open) {
    Part.End = At;
    Part.Ending = "killed";
    Result.push_back(Part);
  }
  Open.clear();
}

} // namespace

std::vector<PartRun> parsePartRuns(const std::vector<std::string> &Lines) {
  std::map<std::string, PartRun> Open;
  std::vector<PartRun> Result;
  std::int64_t LastEventTime = 0;
  for (const std::string &Line : Lines) {
    std::istringstream Fields(Line);
    std::int64_t Time = 0;
    std::string Event;
    std::string PartName;
    std::string Detail;
    Fields >> Time >> Event >> PartName >> Detail;
    // A restart: the runs still open were killed after the last event before.
    if (Event == "boot")
      endOpenRuns(Open, LastEventTime, Result);
    LastEventTime = Time;
    const std::size_t Dot = PartName.rfind('.');
    if (Dot == std::string::npos)
      continue;
    PartRun &Part = Open[PartName];
    if (Event == "start") {
      Part.Job = PartName.substr(0, Dot);
      Part.Attempt = std::stoull(PartName.substr(Dot + 1));
      Part.Start = Time;
      Part.Accelerators = static_cast<std::uint32_t>(std::stoul(Detail));
    } else if (Event == "end") {
      Part.End = Time;
      Part.Ending = Detail;
      Result.push_back(Part);
      Open.erase(PartName);
    }
  }
  endOpenRuns(Open, LastEventTime, Result);
  return Result;
}

std::vector<std::string>
findGangViolations(const std::vector<PartRun> &Parts,
                   const std::map<std::string, std::uint32_t> &GangAccelerators,
                   std::int64_t MaxPartialRunMs) {
  std::map<std::string, std::map<std::uint64_t, AttemptSpan>> Jobs;
  for (const PartRun &Part : Parts) {
    AttemptSpan &Span = Jobs[Part.Job][Part.Attempt];
    Span.Start = std::min(Span.Start, Part.Start);
    Span.End = std::max(Span.End, Part.End);
    Span.Accelerators += Part.Accelerators;
  }
  std::vector<std::string> Violations;
  for (const auto &[Job, Attempts] : Jobs) {
    const auto Expected = GangAccelerators.find(Job);
    std::int64_t LastEnd = 0;
    for (const auto &[Attempt, Span] : Attempts) {
      if (Span.Start < LastEnd)
        Violations.push_back("attempt " + std::to_string(Attempt) + " of " +
                             Job +
                             " started before the previous attempt ended");
      LastEnd = std::max(LastEnd, Span.End);
      const bool Complete = Expected == GangAccelerators.end() ||
                            Span.Accelerators == Expected->second;
      if (!Complete && Span.End - Span.Start > MaxPartialRunMs)
        Violations.push_back("attempt " + std::to_string(Attempt) + " of " +
                             Job + " ran with an incomplete gang for " +
                             std::to_string(Span.End - Span.Start) + " ms");
    }
  }
  return Violations;
}

} // namespace baobabcove::testing
