#include "tasks/intake/JobAccess.h"

namespace baobabcove {

namespace {

std::string workspaceOwner(const std::string &Workspace) {
  return "workspace/" + Workspace;
}

std::string queueOwner(const std::string &Queue) { return "queue/" + Queue; }

} // namespace

bool mayAccess(const JobCaller &Caller, const wire::TaskJobSpec &Spec) {
  return Spec.workspace().empty() ? Caller.Queue == Spec.queue()
                                  : Caller.Workspace.str() == Spec.workspace();
}

std::string ownerOf(const wire::TaskJobSpec &Spec) {
  return Spec.workspace().empty() ? queueOwner(Spec.queue())
                                  : workspaceOwner(Spec.workspace());
}

std::vector<std::string> ownersFor(const JobCaller &Caller) {
  std::vector<std::string> Owners;
  if (!Caller.Workspace.str().empty())
    Owners.push_back(workspaceOwner(Caller.Workspace.str()));
  if (Caller.IsQueueAnonymous || Owners.empty())
    Owners.push_back(queueOwner(Caller.Queue));
  return Owners;
}

} // namespace baobabcove
