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
constexpr std::int64_t WaitStepMs = 10000;

} // namespace

CtlCommand::CtlCommand(CtlOptions Options, std::ostream &Out, std::ostream &Err)
    : Options(std::move(Options)), Out(Out), Err(Err) {}

const std::vector<CtlCommand::Verb> &CtlCommand::verbs() {
  using C = CtlCommand;
  static const std::vector<Verb> Table = {
      {"config validate", "DIR", "check a folder without effect", 1,
       &C::validateConfiguration},
      {"config diff", "DIR", "show what a folder would change", 1,
       &C::diffConfiguration},
      {"config apply", "DIR", "put a folder into force", 1,
       &C::applyConfiguration},
      {"config history", "", "list the newest changes", 0, &C::showHistory},
      {"job submit", "", "submit the job that the flags describe", 0,
       &C::submitJob},
      {"job status", "ID", "show a job", 1, &C::showJob},
      {"job wait", "ID", "wait until a job has ended", 1, &C::waitForJob},
      {"job cancel", "ID", "cancel a job", 1, &C::cancelJob},
      {"job list", "", "list the jobs of the workspace", 0, &C::listJobs},
      {"request", "SERVICE BODY", "send a request and print the answer", 2,
       &C::sendRequest},
      {"ticket", "SERVICE", "take an idempotency key that needs no store", 1,
       &C::takeTicket},
      {"workspace list", "", "list workspaces", 0, &C::listWorkspaces},
      {"member list", "", "list every process that announced itself", 0,
       &C::listMembers},
      {"minion list", "", "list minions", 0, &C::listMinions},
      {"minion drain", "NODE", "give a minion nothing new", 1, &C::drain},
      {"minion undrain", "NODE", "take a minion back into service", 1,
       &C::undrain},
      {"worker list", "", "list workers", 0, &C::listWorkers},
      {"worker drain", "NODE", "give a worker nothing new", 1, &C::drain},
      {"worker undrain", "NODE", "take a worker back into service", 1,
       &C::undrain},
      {"state", "", "dump the state of the process at --entry", 0, &C::state},
      {"digest", "TOKEN", "print the SHA-256 of a token", 1, &C::digest},
  };
  return Table;
}

std::string CtlCommand::usage() {
  std::ostringstream Text;
  Text << "Talks to an entry.\nbaobabctl [flags] VERB\n\n";
  std::vector<std::vector<std::string>> Rows;
  for (const Verb &Each : verbs())
    Rows.push_back(
        {"  " + std::string(Each.Name) + " " + std::string(Each.Arguments),
         std::string(Each.Help)});
  printTable(Text, Rows);
  Text << "\nExit codes: 0 done, 1 refused, 2 usage, 3 conflict, 4 outcome "
          "unknown, 5 no entry reached.\n";
  return Text.str();
}

CtlExit CtlCommand::run(const Words &Line) {
  for (const Verb &Each : verbs()) {
    const std::size_t NameWords =
        Each.Name.find(' ') == std::string_view::npos ? 1 : 2;
    if (Line.size() < NameWords)
      continue;
    const std::string Name = NameWords == 1 ? Line[0] : Line[0] + " " + Line[1];
    if (Name != Each.Name)
      continue;
    const Words Arguments(Line.begin() + static_cast<long>(NameWords),
                          Line.end());
    if (Arguments.size() == Each.ArgumentCount)
      return (this->*Each.Run)(Arguments);
    Err << "Usage: baobabctl " << Each.Name << ' ' << Each.Arguments << '\n';
    return CtlExit::Usage;
  }
  Err << usage();
  return CtlExit::Usage;
}

Expected<HttpAnswer> CtlCommand::call(const std::string &Method,
                                      const std::string &Path,
                                      const std::string &Body,
                                      const HttpCall &Extra) {
  HttpCall Call = Extra;
  Call.Method = Method;
  Call.Path = Path;
  Call.Body = Body;
  Call.Patience = Options.Timeout;
  if (!Options.Token.empty())
    Call.Headers["Authorization"] = "Bearer " + Options.Token;
  Expected<HttpAnswer> Answer =
      failure(ResultCode::PeerUnreachable, "No --entry is named.");
  for (const std::string &Entry : Options.Entries) {
    HttpClient Client(Entry);
    Answer = Client.call(Call);
    // Only a call that was surely not sent goes on to the next entry.
    if (Answer || Answer.error().Code != ResultCode::PeerUnreachable)
      return Answer;
  }
  return Answer;
}

CtlExit CtlCommand::report(const Error &Fault) {
  const ResultInfo &Info = resultInfo(Fault.Code);
  Err << static_cast<std::uint32_t>(Fault.Code) << ' ' << Info.Name << " ("
      << outcomeName(Info.Ran) << "): " << Fault.Detail << '\n'
      << Info.NextStep << '\n';
  if (Fault.Code == ResultCode::PeerUnreachable)
    return CtlExit::Unreachable;
  return Info.Ran == Outcome::Unknown ? CtlExit::Unknown : CtlExit::Refused;
}

CtlExit CtlCommand::reportAnswer(const HttpAnswer &Answer) {
  const auto Body = parseObject(Answer.Body);
  if (!Body || !Body->has("code")) {
    Err << "The entry answered " << Answer.Status << ": " << Answer.Body
        << '\n';
    return CtlExit::Refused;
  }
  Err << cell(Body, "code") << ' ' << cell(Body, "name") << " ("
      << cell(Body, "outcome") << "): " << cell(Body, "detail") << '\n'
      << cell(Body, "next_step") << '\n';
  if (Answer.Status == HttpConflict)
    return CtlExit::Conflict;
  return cell(Body, "outcome") == "unknown" ? CtlExit::Unknown
                                            : CtlExit::Refused;
}

CtlExit CtlCommand::printObject(const Expected<HttpAnswer> &Answer) {
  if (!Answer)
    return report(Answer.error());
  if (Answer->Status != HttpOk && Answer->Status != HttpAccepted)
    return reportAnswer(*Answer);
  const auto Body = parseObject(Answer->Body);
  if (Options.Json || !Body) {
    Out << Answer->Body << '\n';
    return CtlExit::Ok;
  }
  std::vector<std::vector<std::string>> Rows;
  for (const std::string &Key : Body->getNames())
    Rows.push_back({Key, cell(Body, Key)});
  printTable(Out, Rows);
  return CtlExit::Ok;
}

CtlExit CtlCommand::printRows(const Expected<HttpAnswer> &Answer,
                              const std::string &List,
                              const std::vector<std::string> &Columns,
                              const std::string &Kind) {
  if (!Answer)
    return report(Answer.error());
  if (Answer->Status != HttpOk)
    return reportAnswer(*Answer);
  if (Options.Json) {
    Out << Answer->Body << '\n';
    return CtlExit::Ok;
  }
  std::vector<std::vector<std::string>> Rows = {Columns};
  const auto Body = parseObject(Answer->Body);
  const auto Items = Body ? Body->getArray(List) : nullptr;
  for (std::size_t I = 0; Items && I < Items->size(); ++I) {
    const auto Item = Items->getObject(static_cast<unsigned>(I));
    if (!Kind.empty() && cell(Item, "kind") != Kind)
      continue;
    std::vector<std::string> Row;
    Row.reserve(Columns.size());
    for (const std::string &Name : Columns)
      Row.push_back(column(Item, Name));
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
    const std::int64_t Left = (Deadline - monotonicNow()).count();
    const std::int64_t Step = std::clamp<std::int64_t>(Left, 0, WaitStepMs);
    const auto Answer = call("GET", "/v1/jobs/" + Arguments[0] +
                                        "?wait_ms=" + std::to_string(Step));
    wire::JobRecord Record;
    if (!Answer || Answer->Status != HttpOk || !fromJson(Answer->Body, Record))
      return printObject(Answer);
    if (Record.state() == wire::DONE)
      return printObject(Answer);
    if (Record.state() == wire::JOB_FAILED ||
        Record.state() == wire::CANCELLED) {
      (void)printObject(Answer);
      const auto Code = static_cast<ResultCode>(Record.code());
      return resultInfo(Code).Ran == Outcome::Unknown ? CtlExit::Unknown
                                                      : CtlExit::Refused;
    }
    if (Left <= 0) {
      (void)printObject(Answer);
      Err << "The job has not ended yet.\n";
      return CtlExit::Unknown;
    }
  }
}

CtlExit CtlCommand::cancelJob(const Words &Arguments) {
  return printObject(call("DELETE", "/v1/jobs/" + Arguments[0]));
}

CtlExit CtlCommand::listJobs(const Words &) {
  return printRows(call("GET", "/v1/jobs"), "jobs",
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
  const auto Answer = call("POST", "/v1/services/" + Arguments[0] + "/requests",
                           Arguments[1], Extra);
  if (!Answer)
    return report(Answer.error());
  if (Answer->Status != HttpOk)
    return reportAnswer(*Answer);
  Out << Answer->Body << '\n';
  return CtlExit::Ok;
}

CtlExit CtlCommand::takeTicket(const Words &Arguments) {
  return printObject(call("POST", "/v1/services/" + Arguments[0] + "/tickets"));
}

CtlExit CtlCommand::listWorkspaces(const Words &) {
  return printRows(call("GET", "/v1/workspaces"), "workspaces",
                   {"workspace", "guaranteed_accelerators", "max_requests",
                    "max_queued_jobs", "open_jobs"});
}

CtlExit CtlCommand::listMembers(const Words &) {
  return printRows(call("GET", "/v1/members"), "members",
                   {"node", "kind", "place", "data_centre", "rack",
                    "configuration_version", "draining", "silent_ms",
                    "http_address"});
}

CtlExit CtlCommand::listMinions(const Words &) {
  return printRows(call("GET", "/v1/members"), "members",
                   {"node", "place", "data_centre", "service", "slots",
                    "in_flight", "draining", "silent_ms"},
                   "MINION");
}

CtlExit CtlCommand::listWorkers(const Words &) {
  return printRows(call("GET", "/v1/members"), "members",
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

CtlExit CtlCommand::state(const Words &) {
  return printObject(call("GET", "/v1/state"));
}

CtlExit CtlCommand::digest(const Words &Arguments) {
  Out << sha256Hex(Arguments[0]) << '\n';
  return CtlExit::Ok;
}

} // namespace baobabcove
