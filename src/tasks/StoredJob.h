#ifndef BAOBABCOVE_TASKS_STOREDJOB_H
#define BAOBABCOVE_TASKS_STOREDJOB_H

#include "store/TransactionalStore.h"
#include "tasks.pb.h"

#include <memory>

namespace baobabcove {

/// Reads the accepted job in \p Item, whose key starts with keys::Jobs. Logs
/// and returns null if the record is none that an entry stores: it cannot be
/// parsed, names another job, has no steps or too many tasks, or a step that
/// follows a later one.
std::shared_ptr<const wire::TaskJobSpec> readStoredJob(const StoreItem &Item);

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_STOREDJOB_H
