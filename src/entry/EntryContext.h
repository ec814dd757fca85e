/// \file
/// What the parts of an entry share.

#ifndef BAOBABCOVE_ENTRY_ENTRYCONTEXT_H
#define BAOBABCOVE_ENTRY_ENTRYCONTEXT_H

#include "base/Metrics.h"
#include "config/ConfigurationKeeper.h"
#include "config/Settings.h"
#include "entry/JobBook.h"
#include "entry/Router.h"
#include "http/Access.h"
#include "membership/Members.h"
#include "rpc/Rpc.h"
#include "store/Store.h"

namespace baobabcove {

/// References to the parts that the entry's HTTP interface works with.
struct EntryContext {
  const Settings &Of;
  std::uint64_t Incarnation;
  Metrics &Figures;
  Store &Platform;
  RpcPeers &Peers;
  Members &Known;
  ConfigurationKeeper &Keeper;
  JobBook &Book;
  Router &Routes;
};

} // namespace baobabcove

#endif // BAOBABCOVE_ENTRY_ENTRYCONTEXT_H
