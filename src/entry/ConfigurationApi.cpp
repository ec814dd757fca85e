#include "entry/ConfigurationApi.h"

#include "base/HttpClient.h"
#include "base/Log.h"
#include "base/StateDump.h"
#include "base/Text.h"
#include "coordinator/WireTypes.h"
#include "entry/JobApi.h"

#include <algorithm>

#include <Poco/JSON/Array.h>

namespace baobabcove {

namespace {

constexpr int MaxHistory = 50;
constexpr const char *BootstrapOperator = "bootstrap";

/// The refusal that lists every fault of the files.
HttpResponse faultReport(const ConfigurationReport &Report) {
  std::string Detail;
  for (const ConfigurationFault &Fault : Report.Faults)
    Detail += (Detail.empty() ? "" : "\n") + Fault.str();
  return refusal(ResultCode::ConfigurationInvalid, Detail);
}

/// Who changed what since the version that a change began from.
std::string newerChanges(const wire::ConfigurationBundle &Present,
                         std::uint64_t Base) {
  std::string Text;
  for (const auto &Change : Present.history()) {
    if (Change.version() <= Base)
      continue;
    Text += (Text.empty() ? "" : "; ") + std::string("version ") +
            std::to_string(Change.version()) + " by " + Change.operator_() +
            " changed";
    for (const std::string &File : Change.changed_files())
      Text += " " + File;
  }
  return Text;
}

} // namespace

std::string configurationKey() { return "config/bundle"; }

HttpResponse ConfigurationApi::show(const HttpRequest &Request) {
  const auto Sender = identifyOperator(Request, *Context.Keeper.current());
  if (!Sender)
    return refusal(Sender.error());
  HttpResponse Response;
  Response.Body = toJson(Context.Keeper.bundle());
  return Response;
}

Expected<Identity>
ConfigurationApi::identifyApplier(const HttpRequest &Request) const {
  const auto Present = Context.Keeper.current();
  if (Context.Keeper.version() != ConfigurationVersion())
    return identifyOperator(Request, *Present);
  Configuration First;
  First.Operators[BootstrapOperator].TokenDigest = Context.Of.BootstrapDigest;
  return identifyOperator(Request, First);
}

Expected<void>
ConfigurationApi::checkWhole(const ConfigurationReport &Report) const {
  const std::vector<WorkerInfo> Workers = knownWorkers(Context);
  if (Workers.empty())
    return {};
  Scheduler Probe{SchedulerOptions()};
  for (const WorkerInfo &Each : Workers)
    Probe.workerSeen(Each, Instant());
  if (Probe.canGuarantee(guaranteesOf(Report.Result)))
    return {};
  return failure(ResultCode::GuaranteeImpossible,
                 "The guarantees cannot all be packed at once on the " +
                     std::to_string(Workers.size()) + " known workers.");
}

wire::ConfigurationBundle
ConfigurationApi::nextBundle(const wire::ConfigurationBundle &Present,
                             const wire::ApplyRequest &Change,
                             const std::string &Operator) {
  wire::ConfigurationBundle Next;
  Next.set_version(Present.version() + 1);
  *Next.mutable_files() = Change.files();
  const int Dropped = std::max(0, Present.history_size() + 1 - MaxHistory);
  for (int I = Dropped; I < Present.history_size(); ++I)
    *Next.add_history() = Present.history(I);
  wire::ConfigurationChange &Entry = *Next.add_history();
  Entry.set_version(Next.version());
  Entry.set_change_id(Change.change_id());
  Entry.set_operator_(Operator);
  Entry.set_accepted_at_ms(wallClockMs());
  for (const std::string &Name : changedFiles(Present, Next))
    Entry.add_changed_files(Name);
  return Next;
}

/// After a write whose answer was lost, the store tells whether it took effect.
Expected<wire::ConfigurationBundle>
ConfigurationApi::readBack(const wire::ApplyRequest &Change) {
  const auto Stored = Context.Platform.read(configurationKey());
  wire::ConfigurationBundle Present;
  if (!Stored || !Present.ParseFromString(Stored->Value))
    return failure(ResultCode::StoreAnswerLost,
                   "The store did not say whether the change was kept.");
  for (const auto &Entry : Present.history())
    if (Entry.change_id() == Change.change_id())
      return Present;
  return failure(ResultCode::ConfigurationConflict,
                 newerChanges(Present, Change.base_version()));
}

Expected<wire::ConfigurationBundle>
ConfigurationApi::accept(const wire::ApplyRequest &Change,
                         const std::string &Operator) {
  const auto Stored = Context.Platform.read(configurationKey());
  if (!Stored)
    return tl::unexpected<Error>(Stored.error());
  wire::ConfigurationBundle Present;
  if (!Present.ParseFromString(Stored->Value))
    return failure(ResultCode::StoreUnavailable,
                   "The stored configuration is unreadable.");
  for (const auto &Entry : Present.history())
    if (Entry.change_id() == Change.change_id())
      return Present;
  if (Present.version() != Change.base_version())
    return failure(ResultCode::ConfigurationConflict,
                   "The change began from version " +
                       std::to_string(Change.base_version()) + ", but " +
                       newerChanges(Present, Change.base_version()) + ".");
  const wire::ConfigurationBundle Next = nextBundle(Present, Change, Operator);
  const auto Written = Context.Platform.swap(
      configurationKey(), Stored->Revision, Next.SerializeAsString(), 0);
  if (Written)
    return Next;
  if (Written.error().Code == ResultCode::StoreUnavailable)
    return tl::unexpected<Error>(Written.error());
  return readBack(Change);
}

HttpResponse ConfigurationApi::apply(const HttpRequest &Request) {
  const auto Sender = identifyApplier(Request);
  if (!Sender)
    return refusal(Sender.error());
  wire::ApplyRequest Change;
  if (auto Read = fromJson(Request.Body, Change); !Read)
    return refusal(Read.error());
  wire::ConfigurationBundle Candidate;
  *Candidate.mutable_files() = Change.files();
  const ConfigurationReport Report = readConfiguration(Candidate);
  if (!Report.Faults.empty())
    return faultReport(Report);
  if (auto Whole = checkWhole(Report); !Whole)
    return refusal(Whole.error());
  auto Body = makeDump();
  if (Request.query("check_only") == "true") {
    Body->set("valid", true);
  } else {
    if (Change.change_id().empty())
      Change.set_change_id(randomName());
    const auto Accepted = accept(Change, Sender->Operator);
    if (!Accepted)
      return refusal(Accepted.error());
    Context.Keeper.offer(*Accepted);
    Body->set("version", Accepted->version());
    LOG4CPLUS_INFO(logOf("config"), "Accepted version "
                                        << Accepted->version() << " from "
                                        << Sender->Operator << ".");
  }
  HttpResponse Response;
  Response.Body = dumpText(Body);
  return Response;
}

HttpResponse ConfigurationApi::workspaces(const HttpRequest &Request) {
  const auto Present = Context.Keeper.current();
  const auto Sender = identify(Request, *Present);
  if (!Sender)
    return refusal(Sender.error());
  Poco::JSON::Array::Ptr Rows = new Poco::JSON::Array;
  for (const auto &[Name, Workspace] : Present->Workspaces) {
    if (!Sender->maySee(Name))
      continue;
    std::uint64_t Guaranteed = 0;
    for (const GuaranteeShape &Shape : Workspace.Guarantee)
      Guaranteed += std::uint64_t(Shape.Count) * Shape.Accelerators;
    auto Row = makeDump();
    Row->set("workspace", Name);
    Row->set("guaranteed_accelerators", Guaranteed);
    Row->set("max_requests", Workspace.MaxRequests);
    Row->set("max_queued_jobs", Workspace.MaxQueuedJobs);
    Row->set("open_jobs", Context.Book.openJobs(WorkspaceId(Name)));
    Rows->add(Row);
  }
  auto Body = makeDump();
  Body->set("workspaces", Rows);
  HttpResponse Response;
  Response.Body = dumpText(Body);
  return Response;
}

} // namespace baobabcove
