/// \file
/// Keys of the task scheduler in the platform's store.

#ifndef BAOBABCOVE_TASKS_STOREKEYS_H
#define BAOBABCOVE_TASKS_STOREKEYS_H

#include "baobabcove/Ids.h"

#include <string>

namespace baobabcove::keys {

/// Prefix of all keys below.
inline const std::string All = "baobabcove/";
/// The coordinator role: "NODE ADDRESS NONCE DELAY", bound to the lease of its
/// holder; DELAY is the holder's acquisition delay in milliseconds.
inline const std::string Coordinator = "baobabcove/coordinator";
/// The request of a stronger process for the role: its acquisition delay in
/// milliseconds, bound to a short lease.
inline const std::string RoleRequest = "baobabcove/role-request";
/// Accepted jobs, one key each, never rewritten.
inline const std::string Jobs = "baobabcove/job/";
/// Progress of jobs, written by the coordinator only.
inline const std::string Progress = "baobabcove/progress/";
/// Pages of the progress of large jobs, "ID/NUMBER", written with the progress
/// of the job. Outside of All: entries do not need them, and a page changes
/// with each of its tasks.
inline const std::string ProgressPages = "baobabcove-progress/";
/// Cancelled jobs.
inline const std::string Cancels = "baobabcove/cancel/";
/// Jobs that were cancelled while the store did not hold them, so that a late
/// write of the job does not store it: "ID/OWNER". The value is the Unix time
/// of the cancellation in milliseconds. The owner is part of the key, because a
/// caller must not cancel jobs of others.
inline const std::string Tombstones = "baobabcove/tombstone/";

inline std::string job(const JobId &Id) { return Jobs + Id.str(); }
inline std::string progress(const JobId &Id) { return Progress + Id.str(); }
inline std::string progressPage(const JobId &Id, std::size_t Number) {
  return ProgressPages + Id.str() + "/" + std::to_string(Number);
}
inline std::string cancel(const JobId &Id) { return Cancels + Id.str(); }
inline std::string tombstone(const JobId &Id, const std::string &Owner) {
  return Tombstones + Id.str() + "/" + Owner;
}

} // namespace baobabcove::keys

#endif // BAOBABCOVE_TASKS_STOREKEYS_H
