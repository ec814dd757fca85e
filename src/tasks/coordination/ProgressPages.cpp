#include "tasks/coordination/ProgressPages.h"

#include "tasks/StoreKeys.h"

#include <algorithm>

namespace baobabcove {

ProgressRecords progressRecords(const TaskJob &Job) {
  wire::TaskJobProgress Progress = Job.progress();
  ProgressRecords Records;
  const std::size_t Pages = progressPages(Job.size());
  if (Pages == 0) {
    Records.Head = Progress.SerializeAsString();
    return Records;
  }
  std::vector<wire::TaskJobProgress> Split(Pages);
  for (wire::TaskRecord &Record : *Progress.mutable_tasks())
    if (const auto At = Job.position(
            {Job.id(), Record.occurrence(), Record.step(), Record.index()}))
      *Split[*At / TasksPerProgressPage].add_tasks() = std::move(Record);
  Progress.clear_tasks();
  Records.Head = Progress.SerializeAsString();
  for (const wire::TaskJobProgress &Page : Split)
    Records.Pages.push_back(Page.SerializeAsString());
  return Records;
}

bool mayHavePages(const std::vector<StoreItem> &Items) {
  return std::any_of(Items.begin(), Items.end(), [](const StoreItem &Item) {
    wire::TaskJobSpec Spec;
    return Item.Key.rfind(keys::Jobs, 0) == 0 &&
           Spec.ParseFromString(Item.Value) &&
           progressPages(taskCount(Spec)) > 0;
  });
}

std::map<JobId, StoredProgress>
readProgress(const std::vector<StoreItem> &Items,
             const std::vector<StoreItem> &Pages) {
  std::map<JobId, StoredProgress> Found;
  for (const StoreItem &Item : Items) {
    if (Item.Key.rfind(keys::Progress, 0) != 0)
      continue;
    StoredProgress &Job = Found[JobId(Item.Key.substr(keys::Progress.size()))];
    Job.Revision = Item.Revision;
    Job.IsReadable = Job.Progress.ParseFromString(Item.Value);
  }
  for (const StoreItem &Item : Pages) {
    const std::string Name = Item.Key.substr(keys::ProgressPages.size());
    const auto Job = Found.find(JobId(Name.substr(0, Name.find('/'))));
    if (Job == Found.end())
      continue;
    wire::TaskJobProgress Page;
    if (Page.ParseFromString(Item.Value))
      Job->second.Progress.mutable_tasks()->MergeFrom(Page.tasks());
    else
      Job->second.IsReadable = false;
  }
  return Found;
}

} // namespace baobabcove
