#include "cli/CtlCommand.h"

#include "base/Text.h"
#include "cli/Printing.h"

#include <algorithm>
#include <iostream>
#include <sstream>

namespace baobabcove {

namespace {

constexpr int HttpOk = 200;
constexpr int HttpAccepted = 202;
constexpr int HttpConflict = 409;
/// Longest time for which one request of "job wait" lets the entry wait.
constexpr std::int64_t MaxPollWaitMs = 10000;

} // namespace

CtlCommand::CtlCommand(CtlOptions Options, std::ostream &Out, std::ostream &Err)
    : Options(std::move(Options)), Out(Out), Err(Err) {}

const std::vector<CtlCommand::Verb> &CtlCommand::verbs() {
  using C = CtlCommand;
  static const std::vector<Verb> Table = {
      {"config validate", "DIR",
       "check a configuration folder without applying it", 1,
       &C::validateConfiguration},
      {"config diff", "DIR", "show what applying a folder would change", 1,
       &C::diffConfiguration},
      {"config apply", "DIR", "apply a configuration folder", 1,
       &C::applyConfiguration},
      {"config history", "", "list the latest configuration changes", 0,
       &C::showHistory},
      {"job submit", "", "submit the job described by the flags", 0,
       &C::submitJob},
      {"job status", "ID", "show a job", 1, &C::showJob},
      {"job wait", "ID", "wait until a job has ended", 1, &C::waitForJob},
      {"job cancel", "ID", "cancel a job", 1, &C::cancelJob},
      {"job list", "", "list the jobs of the workspace", 0, &C::listJobs},
      {"request", "SERVICE BODY", "send a request and print the response", 2,
       &C::sendRequest},
      {"ticket", "SERVICE",
       "create an idempotency key that works without the store", 1,
       &C::createTicket},
      {"workspace list", "", "list workspaces", 0, &C::listWorkspaces},
      {"member list", "", "list every process that sends heartbeats", 0,
       &C::listMembers},
      {"minion list", "", "list minions", 0, &C::listMinions},
      {"minion drain", "NODE", "stop sending new requests to a minion", 1,
       &C::drain},
      {"minion undrain", "NODE", "resume sending requests to a minion", 1,
       &C::undrain},
      {"worker list", "", "list workers", 0, &C::listWorkers},
      {"worker drain", "NODE", "stop placing gangs on a worker", 1, &C::drain},
      {"worker undrain", "NODE", "resume placing gangs on a worker", 1,
       &C::undrain},
      {"data-centre list", "", "list data centres", 0, &C::listDataCentres},
      {"data-centre evacuate", "NAME", "start nothing more in a data centre", 1,
       &C::evacuate},
      {"data-centre restore", "NAME", "end the evacuation of a data centre", 1,
       &C::restore},
      {"state", "", "dump the state of the process at --entry", 0, &C::state},
      {"digest", "TOKEN", "print the SHA-256 of a token", 1, &C::digest},
  };
  return Table;
}

std::string CtlCommand::usage() {
  std::ostringstream Text;
  Text << "Sends one command to an entry.\nbaobabctl [flags] VERB\n\n";
  std::vector<std::vector<std::string>> Rows;
  for (const Verb &Each : verbs())
    Rows.push_back(
        {"  " + std::string(Each.Name) + " " + std::string(Each.Arguments),
         std::string(Each.Help)});
  printTable(Text, Rows);
  Text << "\nExit codes: 0 success, 1 refused, 2 usage error, 3 conflict, "
          "4 unknown outcome, 5 no entry reachable.\n";
  return Text.str();
}

CtlExit CtlCommand::run(const Words &CommandLine) {
  for (const Verb &Each : verbs()) {
    const std::size_t NameWords =
        Each.Name.find(' ') == std::string_view::npos ? 1 : 2;
    if (CommandLine.size() < NameWords)
      continue;
    const std::string Name =
        NameWords == 1 ? CommandLine[0] : CommandLine[0] + " " + CommandLine[1];
    if (Name != Each.Name)
      continue;
    const Words Arguments(CommandLine.begin() + static_cast<long>(NameWords),
                          CommandLine.end());
    if (Arguments.size() == Each.ArgumentCount)
      return (this->*Each.Run)(Arguments);
    Err << "Usage: baobabctl " << Each.Name << ' ' << Each.Arguments << '\n';
    return CtlExit::Usage;
  }
  Err << usage();
  return CtlExit::Usage;
}

Expected<HttpClientResponse> CtlCommand::call(const std::string &Method,
                                              const std::string &Path,
                                              const std::string &Body,
                                              const HttpCall &Extra) {
  HttpCall Call = Extra;
  Call.Method = Method;
  Call.Path = Path;
  Call.Body = Body;
  Call.Timeout = Options.Timeout;
  if (!Options.Token.empty())
    Call.Headers["Authorization"] = "Bearer " + Options.Token;
  Expected<HttpClientResponse> Response =
      failure(ResultCode::PeerUnreachable,
              "--entry is missing: name at least one entry as ip:port.");
  for (const std::string &Entry : Options.Entries) {
    HttpClient Client(Entry);
    Response = Client.call(Call);
    // PeerUnreachable is the only failure in which nothing was sent; after any
    // other one, trying the next entry could run the call twice.
    if (Response || Response.error().Code != ResultCode::PeerUnreachable)
      return Response;
  }
  return Response;
}

CtlExit CtlCommand::reportError(const Error &Fault) {
  const ResultInfo &Info = resultInfo(Fault.Code);
  Err << static_cast<std::uint32_t>(Fault.Code) << ' ' << Info.Name << " ("
      << outcomeName(Info.RunOutcome) << "): " << Fault.Detail << '\n'
      << Info.NextStep << '\n';
  if (Fault.Code == ResultCode::PeerUnreachable)
    return CtlExit::Unreachable;
  return Info.RunOutcome == Outcome::Unknown ? CtlExit::Unknown
                                             : CtlExit::Refused;
}

CtlExit CtlCommand::reportErrorResponse(const HttpClientResponse &Response) {
  const auto Body = parseObject(Response.Body);
  if (!Body || !Body->has("code")) {
    Err << "The entry returned HTTP status " << Response.Status
        << " without a result code: " << Response.Body << '\n';
    return CtlExit::Refused;
  }
  Err << fieldText(Body, "code") << ' ' << fieldText(Body, "name") << " ("
      << fieldText(Body, "outcome") << "): " << fieldText(Body, "detail")
      << '\n'
      << fieldText(Body, "next_step") << '\n';
  if (Response.Status == HttpConflict)
    return CtlExit::Conflict;
  return fieldText(Body, "outcome") == "unknown" ? CtlExit::Unknown
                                                 : CtlExit::Refused;
}

CtlExit CtlCommand::printObject(const Expected<HttpClientResponse> &Response) {
  if (!Response)
    return reportError(Response.error());
  if (Response->Status != HttpOk && Response->Status != HttpAccepted)
    return reportErrorResponse(*Response);
  const auto Body = parseObject(Response->Body);
  if (Options.Json || !Body) {
    Out << Response->Body << '\n';
    return CtlExit::Ok;
  }
  std::vector<std::vector<std::string>> Rows;
  for (const std::string &Key : Body->getNames())
    Rows.push_back({Key, fieldText(Body, Key)});
  printTable(Out, Rows);
  return CtlExit::Ok;
}

CtlExit CtlCommand::printList(const Expected<HttpClientResponse> &Response,
                              const std::string &ListKey,
                              const std::vector<std::string> &Columns,
                              const std::string &Kind) {
  if (!Response)
    return reportError(Response.error());
  if (Response->Status != HttpOk)
    return reportErrorResponse(*Response);
  if (Options.Json) {
    Out << Response->Body << '\n';
    return CtlExit::Ok;
  }
  std::vector<std::vector<std::string>> Rows = {Columns};
  const auto Body = parseObject(Response->Body);
  const auto Items = Body ? Body->getArray(ListKey) : nullptr;
  for (std::size_t I = 0; Items && I < Items->size(); ++I) {
    const auto Item = Items->getObject(static_cast<unsigned>(I));
    if (!Kind.empty() && fieldText(Item, "kind") != Kind)
      continue;
    std::vector<std::string> Row;
    Row.reserve(Columns.size());
    for (const std::string &Name : Columns)
      Row.push_back(nestedFieldText(Item, Name));
    Rows.push_back(Row);
  }
  printTable(Out, Rows);
  return CtlExit::Ok;
}

CtlExit CtlCommand::submitJob(const Words &) {
  HttpCall Extra;
  if (!Options.Key.empty())
    Extra.Headers["Idempotency-Key"] = Options.Key;
  return printObject(call("POST", "/v1/jobs", toJson(Options.Job), Extra));
}

CtlExit CtlCommand::showJob(const Words &Arguments) {
  return printObject(call("GET", "/v1/jobs/" + Arguments[0]));
}

CtlExit CtlCommand::waitForJob(const Words &Arguments) {
  const Instant Deadline = monotonicNow() + Options.Timeout;
  for (;;) {
    const std::int64_t Remaining = (Deadline - monotonicNow()).count();
    const std::int64_t Wait =
        std::clamp<std::int64_t>(Remaining, 0, MaxPollWaitMs);
    const auto Response = call("GET", "/v1/jobs/" + Arguments[0] +
                                          "?wait_ms=" + std::to_string(Wait));
    wire::JobRecord Record;
    if (!Response || Response->Status != HttpOk ||
        !fromJson(Response->Body, Record))
      return printObject(Response);
    if (Record.state() == wire::DONE)
      return printObject(Response);
    if (Record.state() == wire::JOB_FAILED ||
        Record.state() == wire::CANCELLED) {
      (void)printObject(Response);
      const auto Code = static_cast<ResultCode>(Record.code());
      return resultInfo(Code).RunOutcome == Outcome::Unknown ? CtlExit::Unknown
                                                             : CtlExit::Refused;
    }
    if (Remaining <= 0) {
      (void)printObject(Response);
      Err << "The job did not end within --timeout_ms.\n";
      return CtlExit::Unknown;
    }
  }
}

CtlExit CtlCommand::cancelJob(const Words &Arguments) {
  return printObject(call("DELETE", "/v1/jobs/" + Arguments[0]));
}

CtlExit CtlCommand::listJobs(const Words &) {
  return printList(call("GET", "/v1/jobs"), "jobs",
                   {"id", "state", "spec.workspace", "spec.name", "spec.tasks",
                    "spec.accelerators_per_task", "attempt", "detail"});
}

CtlExit CtlCommand::sendRequest(const Words &Arguments) {
  HttpCall Extra;
  Extra.ContentType = "text/plain";
  Extra.Headers["X-Idempotent"] = Options.Idempotent ? "true" : "false";
  if (!Options.Key.empty())
    Extra.Headers["Idempotency-Key"] = Options.Key;
  if (Options.DeadlineMs > 0)
    Extra.Headers["X-Deadline-Ms"] = std::to_string(Options.DeadlineMs);
  const auto Response =
      call("POST", "/v1/services/" + Arguments[0] + "/requests", Arguments[1],
           Extra);
  if (!Response)
    return reportError(Response.error());
  if (Response->Status != HttpOk)
    return reportErrorResponse(*Response);
  Out << Response->Body << '\n';
  return CtlExit::Ok;
}

CtlExit CtlCommand::createTicket(const Words &Arguments) {
  return printObject(call("POST", "/v1/services/" + Arguments[0] + "/tickets"));
}

CtlExit CtlCommand::listWorkspaces(const Words &) {
  return printList(call("GET", "/v1/workspaces"), "workspaces",
                   {"workspace", "guaranteed_accelerators", "max_requests",
                    "max_queued_jobs", "open_jobs"});
}

CtlExit CtlCommand::listMembers(const Words &) {
  return printList(call("GET", "/v1/members"), "members",
                   {"node", "kind", "place", "data_centre", "rack",
                    "configuration_version", "draining", "silent_ms",
                    "http_address"});
}

CtlExit CtlCommand::listMinions(const Words &) {
  return printList(call("GET", "/v1/members"), "members",
                   {"node", "place", "data_centre", "service", "slots",
                    "in_flight", "draining", "silent_ms"},
                   "MINION");
}

CtlExit CtlCommand::listWorkers(const Words &) {
  return printList(call("GET", "/v1/members"), "members",
                   {"node", "place", "data_centre", "rack", "accelerators",
                    "parts", "draining", "silent_ms"},
                   "WORKER");
}

CtlExit CtlCommand::setDraining(const std::string &Node,
                                const std::string &Method) {
  return printObject(call(Method, "/v1/members/" + Node + "/drain"));
}

CtlExit CtlCommand::drain(const Words &Arguments) {
  return setDraining(Arguments[0], "POST");
}

CtlExit CtlCommand::undrain(const Words &Arguments) {
  return setDraining(Arguments[0], "DELETE");
}

CtlExit CtlCommand::listDataCentres(const Words &) {
  return printList(call("GET", "/v1/data-centres"), "data_centres",
                   {"data_centre", "evacuated", "revision"});
}

CtlExit CtlCommand::evacuate(const Words &Arguments) {
  return printObject(
      call("PUT", "/v1/data-centres/" + Arguments[0] + "/evacuation"));
}

CtlExit CtlCommand::restore(const Words &Arguments) {
  return printObject(
      call("DELETE", "/v1/data-centres/" + Arguments[0] + "/evacuation"));
}

CtlExit CtlCommand::state(const Words &) {
  return printObject(call("GET", "/v1/state"));
}

CtlExit CtlCommand::digest(const Words &Arguments) {
  Out << sha256Hex(Arguments[0]) << '\n';
  return CtlExit::Ok;
}

} // namespace baobabcove
