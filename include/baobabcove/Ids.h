/// \file
/// The identifiers and numbers that travel between the parts of baobabcove.

#ifndef BAOBABCOVE_IDS_H
#define BAOBABCOVE_IDS_H

#include "baobabcove/StrongType.h"

namespace baobabcove {

/// A tenant with its guarantee, limits and tokens.
using WorkspaceId = StrongString<struct WorkspaceTag>;
/// A submitted job.
using JobId = StrongString<struct JobTag>;
/// A process of the system: an entry, or the agent of a minion or worker.
using NodeId = StrongString<struct NodeTag>;
/// A caller's request, unique within its workspace.
using RequestId = StrongString<struct RequestTag>;
/// A group of minions that answer the same requests.
using ServiceName = StrongString<struct ServiceTag>;
/// A region, holding data centres.
using PlaceName = StrongString<struct PlaceTag>;
/// A data centre, holding racks.
using DataCentreName = StrongString<struct DataCentreTag>;
/// A rack, holding workers.
using RackName = StrongString<struct RackTag>;

/// Number of a coordinator's term; agents refuse commands of older terms.
using Epoch = StrongNumber<struct EpochTag>;
/// Number of one life of a process; a later life has a higher one.
using Incarnation = StrongNumber<struct IncarnationTag>;
/// Number of a start of a job; a restarted job has a higher one.
using Attempt = StrongNumber<struct AttemptTag>;
/// Number of an accepted configuration.
using ConfigurationVersion = StrongNumber<struct ConfigurationVersionTag>;

} // namespace baobabcove

#endif // BAOBABCOVE_IDS_H
