#ifndef BAOBABCOVE_TASKS_WORKERINCARNATION_H
#define BAOBABCOVE_TASKS_WORKERINCARNATION_H

#include "baobabcove/Ids.h"

#include <cstdint>
#include <string>

namespace baobabcove {

/// Identifies a worker incarnation by its node, its id and its start time, or
/// the absence of a worker after one has ended.
using WorkerIncarnation = StrongString<struct WorkerIncarnationTag>;

/// Returns "NODE/ID#STARTED_MS".
WorkerIncarnation incarnationOf(const NodeId &Node, const std::string &Id,
                                std::int64_t StartedAtMs);

/// Returns the incarnation without runs as which the agent of \p Node reports
/// the worker after the \p Count th end of one, "NODE/none#COUNT".
WorkerIncarnation departedIncarnation(const NodeId &Node, std::uint64_t Count);

/// Whether \p Incarnation stands for the absence of a worker.
bool isDeparted(const WorkerIncarnation &Incarnation);

/// Returns the node of a worker incarnation.
NodeId nodeOf(const WorkerIncarnation &Incarnation);

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_WORKERINCARNATION_H
