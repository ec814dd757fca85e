/// \file
/// The records in which the progress of a job is stored.

#ifndef BAOBABCOVE_TASKS_COORDINATION_PROGRESSPAGES_H
#define BAOBABCOVE_TASKS_COORDINATION_PROGRESSPAGES_H

#include "store/TransactionalStore.h"
#include "tasks/TaskJob.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace baobabcove {

/// Tasks in one page. A record of a task takes about 100 bytes, so that a page
/// stays far below the store's limit of 1 MiB on a value.
constexpr std::size_t TasksPerProgressPage = 500;

/// The stored form of a job's progress. A small job has a head only, which
/// holds its tasks too. The head of a larger one holds what entries need to
/// answer their callers, and pages, which only a coordinator reads, hold the
/// tasks.
struct ProgressRecords {
  std::string Head;
  std::vector<std::string> Pages;
};

/// Returns the number of pages of a job with \p Tasks tasks; zero if its head
/// holds them.
constexpr std::size_t progressPages(std::size_t Tasks) {
  return Tasks <= TasksPerProgressPage
             ? 0
             : (Tasks + TasksPerProgressPage - 1) / TasksPerProgressPage;
}

ProgressRecords progressRecords(const TaskJob &Job);

/// The progress of a job, as read from the store.
struct StoredProgress {
  wire::TaskJobProgress Progress;
  /// Revision of the head.
  std::int64_t Revision = 0;
  /// False if the head or a page cannot be parsed.
  bool IsReadable = true;
};

/// Whether any job among \p Items is so large that its progress has pages.
bool mayHavePages(const std::vector<StoreItem> &Items);

/// Joins the heads among \p Items with \p Pages. Pages without a head are left
/// out. Writes are conditional on the
/// coordinator role, so that nothing changes while its new holder reads.
std::map<JobId, StoredProgress>
readProgress(const std::vector<StoreItem> &Items,
             const std::vector<StoreItem> &Pages);

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_COORDINATION_PROGRESSPAGES_H
