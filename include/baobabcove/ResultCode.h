/// \file
/// Result codes of requests, jobs and commands, and the error type.

#ifndef BAOBABCOVE_RESULTCODE_H
#define BAOBABCOVE_RESULTCODE_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

namespace baobabcove {

/// Result codes. The numbers are part of the API and are never reused.
enum class ResultCode : std::uint32_t {
  Ok = 0,
  MalformedRequest = 1001,
  BodyTooLarge = 1002,
  UnknownPath = 1003,
  MethodNotAllowed = 1004,
  HeadersTooLarge = 1005,
  RequestTimeout = 1006,
  MissingToken = 1101,
  WrongToken = 1102,
  WrongWorkspace = 1103,
  UnknownWorkspace = 1104,
  UnknownService = 1105,
  UnknownJob = 1106,
  KeyReused = 1107,
  Overloaded = 1201,
  WorkspaceLimit = 1202,
  NoMinion = 1203,
  Draining = 1204,
  DeadlineBeforeStart = 1205,
  StoreUnavailable = 1206,
  OutcomeTableFull = 1207,
  PinExpired = 1208,
  Withdrawn = 1209,
  Starting = 1210,
  PeerLimit = 1211,
  OutcomeUnknown = 1301,
  DeadlineAfterStart = 1302,
  AgentLost = 1303,
  MinionFailed = 1304,
  ShapeImpossible = 1401,
  GuaranteeImpossible = 1402,
  JobFailed = 1403,
  JobOutcomeUnknown = 1404,
  JobCancelled = 1405,
  JobTooLarge = 1406,
  ConfigurationInvalid = 1501,
  ConfigurationConflict = 1502,
  SettingsInvalid = 1503,
  StaleEpoch = 1601,
  NoCapacity = 1602,
  UnknownGang = 1603,
  EventNotAllowed = 1604,
  StateChartInvalid = 1605,
  WorkerReplaced = 1606,
  CompareFailed = 1701,
  StoreAnswerLost = 1702,
  PeerUnreachable = 1703,
  PeerNotConnected = 1704,
  PeerReplaced = 1705,
};

/// Whether the requested work was run.
enum class Outcome {
  /// The work was run and has a result.
  Answered,
  /// The work was not run and will not be.
  NotRun,
  /// The work may have been run.
  Unknown
};

/// Description of one result code. docs/RESULT_CODES.md repeats the table.
struct ResultInfo {
  ResultCode Code;
  std::string_view Name;
  Outcome RunOutcome;
  /// HTTP status of responses with this result.
  int HttpStatus;
  /// Advice to the caller or operator, one sentence.
  std::string_view NextStep;
};

/// Returns the descriptions of all result codes, in the order of their numbers.
const std::vector<ResultInfo> &resultTable();

/// Returns the description of \p Code, or that of OutcomeUnknown when \p Code
/// is not a known number.
const ResultInfo &resultInfo(ResultCode Code);

/// Returns the printed form of an outcome: "answered", "not run" or "unknown".
std::string_view outcomeName(Outcome Value);

/// A refusal or failure.
struct Error {
  ResultCode Code = ResultCode::Ok;
  /// What is wrong, in one sentence.
  std::string Detail;
};

/// A value, or the error because of which there is none.
template <class T> using Expected = tl::expected<T, Error>;

/// Returns an error that converts to any Expected.
inline tl::unexpected<Error> failure(ResultCode Code, std::string Detail) {
  return tl::unexpected<Error>(Error{Code, std::move(Detail)});
}

} // namespace baobabcove

#endif // BAOBABCOVE_RESULTCODE_H
