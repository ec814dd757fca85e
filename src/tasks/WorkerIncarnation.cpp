#include "tasks/WorkerIncarnation.h"

namespace baobabcove {

namespace {

/// Takes the place of the worker's id.
const std::string DepartedId = "none";

} // namespace

WorkerIncarnation incarnationOf(const NodeId &Node, const std::string &Id,
                                std::int64_t StartedAtMs) {
  return WorkerIncarnation(Node.str() + "/" + Id + "#" +
                           std::to_string(StartedAtMs));
}

WorkerIncarnation departedIncarnation(const NodeId &Node, std::uint64_t Count) {
  return WorkerIncarnation(Node.str() + "/" + DepartedId + "#" +
                           std::to_string(Count));
}

bool isDeparted(const WorkerIncarnation &Incarnation) {
  const std::string &Text = Incarnation.str();
  return Text.find("/" + DepartedId + "#") != std::string::npos;
}

NodeId nodeOf(const WorkerIncarnation &Incarnation) {
  return NodeId(Incarnation.str().substr(0, Incarnation.str().find('/')));
}

} // namespace baobabcove
