#include "entry/ConfigurationApi.h"

#include "base/HttpClient.h"
#include "base/Log.h"
#include "base/StateDump.h"
#include "base/Text.h"
#include "coordinator/WireConversions.h"
#include "entry/JobApi.h"

#include <algorithm>

#include <Poco/JSON/Array.h>

namespace baobabcove {

namespace {

constexpr int MaxHistory = 50;
constexpr const char *BootstrapOperator = "bootstrap";

/// Returns an error response that lists every fault of the files.
HttpResponse faultResponse(const ConfigurationReport &Report) {
  std::string Detail;
  for (const ConfigurationError &Fault : Report.Errors)
    Detail += (Detail.empty() ? "" : "\n") + Fault.str();
  return errorResponse(ResultCode::ConfigurationInvalid, Detail);
}

/// Lists the changes after version \p Base: their operators and files.
std::string newerChanges(const wire::ConfigurationBundle &Current,
                         std::uint64_t Base) {
  std::string Text;
  for (const auto &Change : Current.history()) {
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
  const auto Sender =
      authenticateOperator(Request, *Context.ActiveConfig.current());
  if (!Sender)
    return errorResponse(Sender.error());
  HttpResponse Response;
  Response.Body = toJson(Context.ActiveConfig.bundle());
  return Response;
}

Expected<Identity>
ConfigurationApi::authenticateApplier(const HttpRequest &Request) const {
  const auto Current = Context.ActiveConfig.current();
  if (Context.ActiveConfig.version() != ConfigurationVersion())
    return authenticateOperator(Request, *Current);
  Configuration Bootstrap;
  Bootstrap.Operators[BootstrapOperator].TokenDigest =
      Context.Options.BootstrapDigest;
  return authenticateOperator(Request, Bootstrap);
}

Expected<void>
ConfigurationApi::checkGuarantees(const ConfigurationReport &Report) const {
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
ConfigurationApi::nextBundle(const wire::ConfigurationBundle &Current,
                             const wire::ApplyRequest &Change,
                             const std::string &Operator) {
  wire::ConfigurationBundle Next;
  Next.set_version(Current.version() + 1);
  *Next.mutable_files() = Change.files();
  const int Dropped = std::max(0, Current.history_size() + 1 - MaxHistory);
  for (int I = Dropped; I < Current.history_size(); ++I)
    *Next.add_history() = Current.history(I);
  wire::ConfigurationChange &Entry = *Next.add_history();
  Entry.set_version(Next.version());
  Entry.set_change_id(Change.change_id());
  Entry.set_operator_(Operator);
  Entry.set_accepted_at_ms(wallClockMs());
  for (const std::string &Name : changedFiles(Current, Next))
    Entry.add_changed_files(Name);
  return Next;
}

/// Reads the configuration back to find out whether a write whose answer was
/// lost took effect.
Expected<wire::ConfigurationBundle>
ConfigurationApi::readBack(const wire::ApplyRequest &Change) {
  const auto Stored = Context.StoreClient.read(configurationKey());
  wire::ConfigurationBundle Current;
  if (!Stored || !Current.ParseFromString(Stored->Value))
    return failure(ResultCode::StoreAnswerLost,
                   "The store did not confirm whether the change was written.");
  for (const auto &Entry : Current.history())
    if (Entry.change_id() == Change.change_id())
      return Current;
  return failure(ResultCode::ConfigurationConflict,
                 newerChanges(Current, Change.base_version()));
}

Expected<wire::ConfigurationBundle>
ConfigurationApi::commitChange(const wire::ApplyRequest &Change,
                               const std::string &Operator) {
  const auto Stored = Context.StoreClient.read(configurationKey());
  if (!Stored)
    return tl::unexpected<Error>(Stored.error());
  wire::ConfigurationBundle Current;
  if (!Current.ParseFromString(Stored->Value))
    return failure(ResultCode::StoreUnavailable,
                   "The stored configuration cannot be parsed.");
  for (const auto &Entry : Current.history())
    if (Entry.change_id() == Change.change_id())
      return Current;
  if (Current.version() != Change.base_version())
    return failure(ResultCode::ConfigurationConflict,
                   "The change is based on version " +
                       std::to_string(Change.base_version()) + ", but " +
                       newerChanges(Current, Change.base_version()) + ".");
  const wire::ConfigurationBundle Next = nextBundle(Current, Change, Operator);
  const auto Written = Context.StoreClient.swap(
      configurationKey(), Stored->Revision, Next.SerializeAsString(), 0);
  if (Written)
    return Next;
  if (Written.error().Code == ResultCode::StoreUnavailable)
    return tl::unexpected<Error>(Written.error());
  return readBack(Change);
}

HttpResponse ConfigurationApi::apply(const HttpRequest &Request) {
  const auto Sender = authenticateApplier(Request);
  if (!Sender)
    return errorResponse(Sender.error());
  wire::ApplyRequest Change;
  if (auto Read = fromJson(Request.Body, Change); !Read)
    return errorResponse(Read.error());
  wire::ConfigurationBundle Candidate;
  *Candidate.mutable_files() = Change.files();
  const ConfigurationReport Report = readConfiguration(Candidate);
  if (!Report.Errors.empty())
    return faultResponse(Report);
  if (auto Packable = checkGuarantees(Report); !Packable)
    return errorResponse(Packable.error());
  auto Body = makeDump();
  if (Request.query("check_only") == "true") {
    Body->set("valid", true);
  } else {
    if (Change.change_id().empty())
      Change.set_change_id(randomName());
    const auto Accepted = commitChange(Change, Sender->Operator);
    if (!Accepted)
      return errorResponse(Accepted.error());
    Context.ActiveConfig.installIfNewer(*Accepted);
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
  const auto Current = Context.ActiveConfig.current();
  const auto Sender = authenticate(Request, *Current);
  if (!Sender)
    return errorResponse(Sender.error());
  Poco::JSON::Array::Ptr Rows = new Poco::JSON::Array;
  for (const auto &[Name, Workspace] : Current->Workspaces) {
    if (!Sender->mayAccess(Name))
      continue;
    std::uint64_t Guaranteed = 0;
    for (const GuaranteeShape &Shape : Workspace.Guarantee)
      Guaranteed += std::uint64_t(Shape.Count) * Shape.Accelerators;
    auto Row = makeDump();
    Row->set("workspace", Name);
    Row->set("guaranteed_accelerators", Guaranteed);
    Row->set("max_requests", Workspace.MaxRequests);
    Row->set("max_queued_jobs", Workspace.MaxQueuedJobs);
    Row->set("open_jobs", Context.JobRecords.openJobs(WorkspaceId(Name)));
    Rows->add(Row);
  }
  auto Body = makeDump();
  Body->set("workspaces", Rows);
  HttpResponse Response;
  Response.Body = dumpText(Body);
  return Response;
}

} // namespace baobabcove
