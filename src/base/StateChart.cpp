#include "baobabcove/StateChart.h"

#include "base/Text.h"

#include <algorithm>

#include <Poco/Path.h>
#include <unistd.h>
#include <yaml-cpp/yaml.h>

namespace baobabcove {

namespace {

constexpr std::size_t MaxPathBytes = 4096;

std::set<std::string> readNames(const YAML::Node &List) {
  std::set<std::string> Names;
  for (const auto &Each : List)
    Names.insert(Each.as<std::string>());
  return Names;
}

/// The folder "charts" beside the folder of the running program.
std::string defaultFolder() {
  char Buffer[MaxPathBytes];
  const ssize_t Length = ::readlink("/proc/self/exe", Buffer, sizeof(Buffer));
  const std::string Program(
      Buffer, static_cast<std::size_t>(std::max<ssize_t>(Length, 0)));
  return Poco::Path(Program)
      .parent()
      .parent()
      .pushDirectory("charts")
      .toString();
}

} // namespace

Expected<StateChart> StateChart::load(const std::string &Path) {
  std::string Text;
  if (!readFile(Path, Text))
    return failure(ResultCode::StateChartInvalid,
                   Path + ": the file cannot be read.");
  return parse(Text, Path);
}

Expected<StateChart> StateChart::parse(const std::string &Text,
                                       const std::string &Source) {
  StateChart Chart;
  Chart.Name = Source;
  try {
    const YAML::Node Root = YAML::Load(Text);
    Chart.Initial = Root["initial"].as<std::string>();
    Chart.Final = readNames(Root["final"]);
    Chart.Events = readNames(Root["events"]);
    for (const auto &State : Root["states"]) {
      auto &Ways = Chart.States[State.first.as<std::string>()];
      for (const auto &Way : State.second)
        Ways[Way.first.as<std::string>()] = Way.second.as<std::string>();
    }
  } catch (const YAML::Exception &Broken) {
    return failure(ResultCode::StateChartInvalid,
                   Source + ":" + std::to_string(Broken.mark.line + 1) + ": " +
                       Broken.msg);
  }
  const std::vector<std::string> Found = Chart.faults();
  if (Found.empty())
    return Chart;
  std::string Detail = Source + ":";
  for (const std::string &Fault : Found) {
    Detail += " ";
    Detail += Fault;
    Detail += ".";
  }
  return failure(ResultCode::StateChartInvalid, Detail);
}

std::set<std::string> StateChart::reachable() const {
  std::set<std::string> Seen = {Initial};
  std::vector<std::string> Open = {Initial};
  while (!Open.empty()) {
    const auto State = States.find(Open.back());
    Open.pop_back();
    if (State == States.end())
      continue;
    for (const auto &[Event, Target] : State->second)
      if (Seen.insert(Target).second)
        Open.push_back(Target);
  }
  return Seen;
}

std::vector<std::string> StateChart::faults() const {
  std::vector<std::string> Found;
  std::set<std::string> Used;
  for (const auto &[State, Ways] : States) {
    if (Ways.empty())
      Found.push_back("State " + State + " has no way out and is not final");
    for (const auto &[Event, Target] : Ways) {
      Used.insert(Event);
      if (Events.count(Event) == 0)
        Found.push_back(
            std::string("Event ").append(Event).append(" is not declared"));
      if (States.count(Target) == 0 && Final.count(Target) == 0)
        Found.push_back("State " + Target + " is not declared");
    }
  }
  for (const std::string &Event : Events)
    if (Used.count(Event) == 0)
      Found.push_back("No state takes the event " + Event);
  const std::set<std::string> Seen = reachable();
  for (const auto &[State, Ways] : States)
    if (Seen.count(State) == 0)
      Found.push_back("State " + State + " cannot be reached");
  for (const std::string &State : Final)
    if (Seen.count(State) == 0)
      Found.push_back("State " + State + " cannot be reached");
  return Found;
}

Expected<std::string> StateChart::next(const std::string &State,
                                       const std::string &Event) const {
  const auto Ways = States.find(State);
  if (Ways != States.end()) {
    const auto Way = Ways->second.find(Event);
    if (Way != Ways->second.end())
      return Way->second;
  }
  return failure(ResultCode::EventNotAllowed,
                 "State " + State + " does not take the event " + Event + ".");
}

Expected<StateCharts> StateCharts::load(const std::string &Wanted) {
  const std::string Folder = Wanted.empty() ? defaultFolder() : Wanted + "/";
  StateCharts Charts;
  const std::pair<const char *, StateChart *> Files[] = {
      {"job.yaml", &Charts.Job},
      {"task.yaml", &Charts.Task},
      {"minion.yaml", &Charts.Minion},
      {"worker.yaml", &Charts.Worker}};
  for (const auto &[Name, Chart] : Files) {
    auto Loaded = StateChart::load(Folder + Name);
    if (!Loaded)
      return tl::unexpected<Error>(Loaded.error());
    *Chart = std::move(*Loaded);
  }
  return Charts;
}

} // namespace baobabcove
