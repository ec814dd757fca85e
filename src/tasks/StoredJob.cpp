#include "tasks/StoredJob.h"

#include "base/Log.h"
#include "base/LogFields.h"
#include "tasks/StoreKeys.h"
#include "tasks/TaskJob.h"

#include <algorithm>
#include <string>

namespace baobabcove {

namespace {

/// Whether the job has more tasks than an entry accepts. The numbers of a
/// foreign record may overflow taskCount().
bool hasTooManyTasks(const wire::TaskJobSpec &Spec) {
  std::uint64_t Tasks = 0;
  for (const wire::StepSpec &Step : Spec.steps()) {
    Tasks += Step.count();
    if (Tasks > MaxTasksPerJob)
      return true;
  }
  return Tasks * std::max<std::uint64_t>(1, Spec.repeat_count()) >
         MaxTasksPerJob;
}

bool hasStepAfterALaterOne(const wire::TaskJobSpec &Spec) {
  for (int Number = 0; Number < Spec.steps_size(); ++Number)
    for (const std::uint32_t Earlier : Spec.steps(Number).after())
      if (Earlier >= static_cast<std::uint32_t>(Number))
        return true;
  return false;
}

/// Returns what makes the record unusable; empty if nothing does.
std::string faultOf(const wire::TaskJobSpec &Spec, const std::string &Id) {
  if (Spec.id() != Id)
    return "it names the job " + Spec.id();
  if (Spec.steps().empty())
    return "it has no steps";
  if (hasTooManyTasks(Spec))
    return "it has over " + std::to_string(MaxTasksPerJob) + " tasks";
  if (hasStepAfterALaterOne(Spec))
    return "a step follows a later one";
  return "";
}

} // namespace

std::shared_ptr<const wire::TaskJobSpec> readStoredJob(const StoreItem &Item) {
  const std::string Id = Item.Key.substr(keys::Jobs.size());
  auto Spec = std::make_shared<wire::TaskJobSpec>();
  const std::string Fault = Spec->ParseFromString(Item.Value)
                                ? faultOf(*Spec, Id)
                                : "it cannot be parsed";
  if (Fault.empty()) {
    for (wire::StepSpec &Step : *Spec->mutable_steps())
      removeRepeatedDependencies(Step);
    return Spec;
  }
  LOG4CPLUS_ERROR(logOf("jobs"), LogFields("stored job refused")
                                     .add("job", Id)
                                     .add("revision", Item.Revision)
                                     .add("why", Fault));
  return nullptr;
}

} // namespace baobabcove
