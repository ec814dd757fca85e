/// \file
/// Identifiers and sequence numbers shared by all components.

#ifndef BAOBABCOVE_IDS_H
#define BAOBABCOVE_IDS_H

#include "baobabcove/StrongType.h"

namespace baobabcove {

/// A tenant, which has a guarantee, limits and tokens.
using WorkspaceId = StrongString<struct WorkspaceTag>;
/// A submitted job.
using JobId = StrongString<struct JobTag>;
/// A process: an entry, or the agent of a minion or worker.
using NodeId = StrongString<struct NodeTag>;
/// A request of a caller, unique within its workspace.
using RequestId = StrongString<struct RequestTag>;
/// A service, provided by a group of interchangeable minions.
using ServiceName = StrongString<struct ServiceTag>;
/// A region, which contains data centres.
using PlaceName = StrongString<struct PlaceTag>;
/// A data centre, which contains racks.
using DataCentreName = StrongString<struct DataCentreTag>;
/// A rack, which contains workers.
using RackName = StrongString<struct RackTag>;

/// Term of a coordinator; agents refuse commands of earlier terms.
using Epoch = StrongNumber<struct EpochTag>;
/// Incarnation of a process; it increases with each restart.
using Incarnation = StrongNumber<struct IncarnationTag>;
/// Attempt at running a job; it increases with each restart of the job.
using Attempt = StrongNumber<struct AttemptTag>;
/// Version of an accepted configuration; it increases with each change.
using ConfigurationVersion = StrongNumber<struct ConfigurationVersionTag>;

} // namespace baobabcove

#endif // BAOBABCOVE_IDS_H
