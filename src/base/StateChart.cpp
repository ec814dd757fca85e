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
  for (const auto &Name : List)
    Names.insert(Name.as<std::string>());
  return Names;
}

/// Returns the folder "charts" next to the folder of the running program.
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
      auto &Transitions = Chart.States[State.first.as<std::string>()];
      for (const auto &Transition : State.second)
        Transitions[Transition.first.as<std::string>()] =
            Transition.second.as<std::string>();
    }
  } catch (const YAML::Exception &Exception) {
    return failure(ResultCode::StateChartInvalid,
                   Source + ":" + std::to_string(Exception.mark.line + 1) +
                       ": " + Exception.msg);
  }
  const std::vector<std::string> Errors = Chart.findErrors();
  if (Errors.empty())
    return Chart;
  std::string Detail = Source + ":";
  for (const std::string &Problem : Errors) {
    Detail += " ";
    Detail += Problem;
    Detail += ".";
  }
  return failure(ResultCode::StateChartInvalid, Detail);
}

std::set<std::string> StateChart::reachable() const {
  std::set<std::string> Visited = {Initial};
  std::vector<std::string> Pending = {Initial};
  while (!Pending.empty()) {
    const auto State = States.find(Pending.back());
    Pending.pop_back();
    if (State == States.end())
      continue;
    for (const auto &[Event, Target] : State->second)
      if (Visited.insert(Target).second)
        Pending.push_back(Target);
  }
  return Visited;
}

std::vector<std::string> StateChart::findErrors() const {
  std::vector<std::string> Errors;
  std::set<std::string> Used;
  for (const auto &[State, Transitions] : States) {
    if (Transitions.empty())
      Errors.push_back("State " + State +
                       " has no transitions and is not final");
    for (const auto &[Event, Target] : Transitions) {
      Used.insert(Event);
      if (Events.count(Event) == 0)
        Errors.push_back(
            std::string("Event ").append(Event).append(" is not declared"));
      if (States.count(Target) == 0 && Final.count(Target) == 0)
        Errors.push_back("State " + Target + " is not declared");
    }
  }
  for (const std::string &Event : Events)
    if (Used.count(Event) == 0)
      Errors.push_back("No state takes the event " + Event);
  const std::set<std::string> Visited = reachable();
  for (const auto &[State, Transitions] : States)
    if (Visited.count(State) == 0)
      Errors.push_back("State " + State + " cannot be reached");
  for (const std::string &State : Final)
    if (Visited.count(State) == 0)
      Errors.push_back("State " + State + " cannot be reached");
  return Errors;
}

Expected<std::string> StateChart::next(const std::string &State,
                                       const std::string &Event) const {
  const auto Transitions = States.find(State);
  if (Transitions != States.end()) {
    const auto Transition = Transitions->second.find(Event);
    if (Transition != Transitions->second.end())
      return Transition->second;
  }
  return failure(ResultCode::EventNotAllowed,
                 "State " + State + " does not allow the event " + Event + ".");
}

Expected<StateCharts> StateCharts::load(const std::string &ChartFolder) {
  const std::string Folder =
      ChartFolder.empty() ? defaultFolder() : ChartFolder + "/";
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
