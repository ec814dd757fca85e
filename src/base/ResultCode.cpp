#include "baobabcove/ResultCode.h"

#include <algorithm>

namespace baobabcove {

const std::vector<ResultInfo> &resultTable() {
  using C = ResultCode;
  constexpr Outcome Answered = Outcome::Answered;
  constexpr Outcome NotRun = Outcome::NotRun;
  constexpr Outcome Unknown = Outcome::Unknown;
  static const std::vector<ResultInfo> Table = {
      {C::Ok, "Ok", Answered, 200, "Nothing."},
      {C::MalformedRequest, "MalformedRequest", NotRun, 400,
       "Correct the request as the detail says and send it again."},
      {C::BodyTooLarge, "BodyTooLarge", NotRun, 413,
       "Send at most what the detail names, in several requests if need be."},
      {C::UnknownPath, "UnknownPath", NotRun, 404,
       "Look the path up in the README."},
      {C::MethodNotAllowed, "MethodNotAllowed", NotRun, 405,
       "Use the method that the README names for this path."},
      {C::HeadersTooLarge, "HeadersTooLarge", NotRun, 431,
       "Send at most 100 headers of 8 KiB, and 16 KiB in total."},
      {C::RequestTimeout, "RequestTimeout", NotRun, 408,
       "Send the whole request at once; it will not run."},
      {C::MissingToken, "MissingToken", NotRun, 401,
       "Send the header Authorization: Bearer TOKEN."},
      {C::WrongToken, "WrongToken", NotRun, 401,
       "Ask an operator for a token of your workspace."},
      {C::WrongWorkspace, "WrongWorkspace", NotRun, 403,
       "Use a token of the workspace that owns the work."},
      {C::UnknownWorkspace, "UnknownWorkspace", NotRun, 404,
       "Name a workspace of the configuration in force."},
      {C::UnknownService, "UnknownService", NotRun, 404,
       "Name a service of the configuration in force."},
      {C::UnknownJob, "UnknownJob", NotRun, 404,
       "Check the job id; ended jobs are kept for a limited time."},
      {C::KeyReused, "KeyReused", NotRun, 409,
       "Use a new idempotency key for a different request."},
      {C::Overloaded, "Overloaded", NotRun, 503,
       "Wait for the time in Retry-After and send it again."},
      {C::WorkspaceLimit, "WorkspaceLimit", NotRun, 429,
       "Let earlier requests of this workspace finish first."},
      {C::NoMinion, "NoMinion", NotRun, 503,
       "Wait and try again; tell an operator if it lasts."},
      {C::Draining, "Draining", NotRun, 503,
       "Send it again; another instance will take it."},
      {C::DeadlineBeforeStart, "DeadlineBeforeStart", NotRun, 504,
       "Send it again with a longer deadline."},
      {C::StoreUnavailable, "StoreUnavailable", NotRun, 503,
       "Try again later, or use a ticket as the idempotency key."},
      {C::OutcomeTableFull, "OutcomeTableFull", NotRun, 503,
       "Wait for the time in Retry-After and send it again."},
      {C::PinExpired, "PinExpired", Unknown, 409,
       "Check at the service whether the request ran."},
      {C::Withdrawn, "Withdrawn", NotRun, 503,
       "Send it again; the earlier delivery will not run."},
      {C::Starting, "Starting", NotRun, 503,
       "Send it again; another instance will take it."},
      {C::PeerLimit, "PeerLimit", NotRun, 429,
       "Close connections that are not used and send it again."},
      {C::OutcomeUnknown, "OutcomeUnknown", Unknown, 502,
       "Ask again with the same idempotency key, or check at the service."},
      {C::DeadlineAfterStart, "DeadlineAfterStart", Unknown, 504,
       "Ask again with the same idempotency key."},
      {C::AgentLost, "AgentLost", Unknown, 502,
       "Ask again with the same idempotency key, or check at the service."},
      {C::MinionFailed, "MinionFailed", Unknown, 502,
       "Check at the service whether the request ran."},
      {C::ShapeImpossible, "ShapeImpossible", NotRun, 422,
       "Submit a shape that the known workers can hold."},
      {C::GuaranteeImpossible, "GuaranteeImpossible", NotRun, 422,
       "Lower the guarantees or add workers, then apply again."},
      {C::JobFailed, "JobFailed", Answered, 200,
       "Read the detail; correct the job and submit it again."},
      {C::JobOutcomeUnknown, "JobOutcomeUnknown", Unknown, 200,
       "Check the job's results before submitting it again."},
      {C::JobCancelled, "JobCancelled", Answered, 200, "Nothing."},
      {C::JobTooLarge, "JobTooLarge", NotRun, 422,
       "Divide it into jobs of at most 10,000 tasks."},
      {C::ConfigurationInvalid, "ConfigurationInvalid", NotRun, 422,
       "Correct the files as the report says and apply again."},
      {C::ConfigurationConflict, "ConfigurationConflict", NotRun, 409,
       "Read the newer change, merge yours into it and apply again."},
      {C::SettingsInvalid, "SettingsInvalid", NotRun, 400,
       "Correct the settings file as the detail says."},
      {C::StaleEpoch, "StaleEpoch", NotRun, 409,
       "Nothing: a newer coordinator has taken over."},
      {C::NoCapacity, "NoCapacity", NotRun, 409,
       "Nothing: the coordinator places the gang elsewhere."},
      {C::UnknownGang, "UnknownGang", NotRun, 404,
       "Nothing: the agent holds no such part."},
      {C::EventNotAllowed, "EventNotAllowed", NotRun, 409,
       "Report it with the state dump of the process."},
      {C::StateChartInvalid, "StateChartInvalid", NotRun, 500,
       "Restore the chart file that came with this version."},
      {C::WorkerReplaced, "WorkerReplaced", NotRun, 409,
       "Nothing: the coordinator places the task elsewhere."},
      {C::CompareFailed, "CompareFailed", NotRun, 409,
       "Read the newer value and decide again."},
      {C::StoreAnswerLost, "StoreAnswerLost", Unknown, 503,
       "Read the value back before trying again."},
      {C::PeerUnreachable, "PeerUnreachable", Unknown, 502,
       "Ask again by id, or ask another peer."},
      {C::PeerNotConnected, "PeerNotConnected", NotRun, 502,
       "Ask another peer."},
      {C::PeerReplaced, "PeerReplaced", NotRun, 502, "Ask another peer."},
  };
  return Table;
}

const ResultInfo &resultInfo(ResultCode Code) {
  const auto &Table = resultTable();
  const auto Matches = [](ResultCode Wanted) {
    return [Wanted](const ResultInfo &Row) { return Row.Code == Wanted; };
  };
  auto Row = std::find_if(Table.begin(), Table.end(), Matches(Code));
  if (Row != Table.end())
    return *Row;
  return *std::find_if(Table.begin(), Table.end(),
                       Matches(ResultCode::OutcomeUnknown));
}

std::string_view outcomeName(Outcome Value) {
  switch (Value) {
  case Outcome::Answered:
    return "answered";
  case Outcome::NotRun:
    return "not run";
  case Outcome::Unknown:
    break;
  }
  return "unknown";
}

} // namespace baobabcove
