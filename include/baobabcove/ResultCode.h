/// \file
/// The numbered results that callers, operators and logs see.

#ifndef BAOBABCOVE_RESULTCODE_H
#define BAOBABCOVE_RESULTCODE_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

namespace baobabcove {

/// Numbers of the result table. They are stable: a number is never reused.
enum class ResultCode : std::uint32_t {
  Ok = 0,
  MalformedRequest = 1001,
  BodyTooLarge = 1002,
  UnknownPath = 1003,
  MethodNotAllowed = 1004,
  HeadersTooLarge = 1005,
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
  OutcomeUnknown = 1301,
  DeadlineAfterStart = 1302,
  AgentLost = 1303,
  MinionFailed = 1304,
  ShapeImpossible = 1401,
  GuaranteeImpossible = 1402,
  JobFailed = 1403,
  JobOutcomeUnknown = 1404,
  JobCancelled = 1405,
  ConfigurationInvalid = 1501,
  ConfigurationConflict = 1502,
  SettingsInvalid = 1503,
  StaleEpoch = 1601,
  NoCapacity = 1602,
  UnknownGang = 1603,
  EventNotAllowed = 1604,
  StateChartInvalid = 1605,
  CompareFailed = 1701,
  StoreAnswerLost = 1702,
  PeerUnreachable = 1703,
  PeerNotConnected = 1704,
};

/// Whether the work behind a result was run.
enum class Outcome { Answered, NotRun, Unknown };

/// One row of the result table.
struct ResultInfo {
  ResultCode Code;
  std::string_view Name;
  Outcome Ran;
  /// HTTP status under which callers see the result.
  int HttpStatus;
  /// What the receiver should do next.
  std::string_view NextStep;
};

/// The whole table in the order of its numbers.
const std::vector<ResultInfo> &resultTable();

/// The row of \p Code. A number that is not in the table yields the row of
/// OutcomeUnknown.
const ResultInfo &resultInfo(ResultCode Code);

/// The printed form of an outcome: "answered", "not run" or "unknown".
std::string_view outcomeName(Outcome Ran);

/// A refusal or failure: its code and what was wrong, in one sentence.
struct Error {
  ResultCode Code = ResultCode::Ok;
  std::string Detail;
};

/// A value or the reason why there is none.
template <class T> using Expected = tl::expected<T, Error>;

/// Shorthand for a failed Expected.
inline tl::unexpected<Error> failure(ResultCode Code, std::string Detail) {
  return tl::unexpected<Error>(Error{Code, std::move(Detail)});
}

} // namespace baobabcove

#endif // BAOBABCOVE_RESULTCODE_H
