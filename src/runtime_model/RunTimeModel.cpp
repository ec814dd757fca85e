#include "runtime_model/RunTimeModel.h"

#include <array>
#include <string_view>

namespace baobabcove {

namespace {

/// The durations of the tasks of one queue have a spread of 0.3 to 0.5 of
/// their mean. Declared durations are off by a factor of two and more.
constexpr DurationPriors Priors{0.25, 0.5, 2};
/// Three of 100 tasks take seven times as long; such a sample counts as this
/// many standard deviations.
constexpr double MaxDeviations = 2;
/// Number of samples that the next coarser row counts as.
constexpr double CoarserSamples = 4;
/// Assumed duration when nothing is declared or known.
constexpr Milliseconds DefaultDuration{10000};

/// Returns the number of binary digits, so that sizes within a factor of two
/// share a class.
std::uint32_t sizeClass(std::uint32_t Size) {
  std::uint32_t Digits = 0;
  for (; Size > 0; Size >>= 1)
    ++Digits;
  return Digits;
}

/// The names of the rows of one kind of task, coarsest first. Each is a prefix
/// of the next.
class RowNames {
public:
  explicit RowNames(const TaskKind &Kind) {
    const std::string Parts[] = {Kind.Queue, Kind.Image, Kind.Workspace,
                                 std::to_string(sizeClass(Kind.Accelerators)) +
                                     "x" +
                                     std::to_string(sizeClass(Kind.Width))};
    for (std::size_t Level = 0; Level < Ends.size(); ++Level) {
      Finest += Parts[Level] + "|";
      Ends[Level] = Finest.size();
    }
  }

  std::size_t levels() const { return Ends.size(); }
  std::string_view operator[](std::size_t Level) const {
    return std::string_view(Finest).substr(0, Ends[Level]);
  }

private:
  std::string Finest;
  std::array<std::size_t, 4> Ends{};
};

} // namespace

RunTimeModel::RunTimeModel(std::size_t MaxRows) : Histories(MaxRows) {}

void RunTimeModel::add(const TaskKind &Kind, Milliseconds Declared,
                       Milliseconds Ran) {
  ++Samples;
  const double Log = logOfDuration(Ran);
  const RowNames Names(Kind);
  for (std::size_t Level = 0; Level < Names.levels(); ++Level) {
    DurationHistory &History = Histories.update(Names[Level]);
    History.Run.addLimited(Log, Priors.RunVariance, MaxDeviations);
    if (Declared.count() > 0)
      History.DeclarationError.addLimited(Log - logOfDuration(Declared),
                                          Priors.DeclarationVariance,
                                          MaxDeviations);
  }
}

DurationEstimate RunTimeModel::estimate(const TaskKind &Kind,
                                        Milliseconds Declared) const {
  const RowNames Names(Kind);
  DurationHistory Mixed;
  for (std::size_t Level = 0; Level < Names.levels(); ++Level) {
    const DurationHistory *Row = Histories.find(Names[Level]);
    if (!Row)
      continue;
    Mixed.Run = Row->Run.mixedWith(Mixed.Run, CoarserSamples);
    Mixed.DeclarationError =
        Row->DeclarationError.mixedWith(Mixed.DeclarationError, CoarserSamples);
  }
  std::optional<double> LogDeclared;
  if (Declared.count() > 0)
    LogDeclared = logOfDuration(Declared);
  return Mixed.estimate(LogDeclared, Priors)
      .value_or(DurationEstimate{logOfDuration(DefaultDuration),
                                 Priors.DeclarationVariance});
}

std::vector<RunTimeRow> RunTimeModel::rows() const {
  std::vector<RunTimeRow> Rows;
  Histories.forEach([&](const std::string &Name, const DurationHistory &Row) {
    Rows.push_back({Name, Row.Run.Count, *Row.estimate(std::nullopt, Priors)});
  });
  return Rows;
}

} // namespace baobabcove
