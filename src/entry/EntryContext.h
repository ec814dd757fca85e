#ifndef BAOBABCOVE_ENTRY_ENTRYCONTEXT_H
#define BAOBABCOVE_ENTRY_ENTRYCONTEXT_H

#include "base/Metrics.h"
#include "config/ActiveConfiguration.h"
#include "config/Settings.h"
#include "entry/JobStore.h"
#include "entry/Router.h"
#include "http/Access.h"
#include "membership/MemberTable.h"
#include "rpc/Rpc.h"
#include "store/Store.h"

namespace baobabcove {

/// References to the components that the entry's HTTP handlers use.
struct EntryContext {
  const Settings &Options;
  std::uint64_t Incarnation;
  Metrics &Stats;
  Store &StoreClient;
  RpcPeers &Peers;
  MemberTable &Membership;
  ActiveConfiguration &ActiveConfig;
  JobStore &JobRecords;
  Router &RequestRouter;
};

} // namespace baobabcove

#endif // BAOBABCOVE_ENTRY_ENTRYCONTEXT_H
