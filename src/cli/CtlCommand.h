#ifndef BAOBABCOVE_CLI_CTLCOMMAND_H
#define BAOBABCOVE_CLI_CTLCOMMAND_H

#include "base/HttpClient.h"
#include "wire.pb.h"

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

namespace baobabcove {

/// Values of the command-line flags.
struct CtlOptions {
  std::vector<std::string> Entries;
  std::string Token;
  bool Json = false;
  Milliseconds Timeout{10000};
  std::string Key;
  bool Idempotent = false;
  /// Deadline of a request in ms; zero selects the service's default.
  std::uint32_t DeadlineMs = 0;
  wire::JobSpec Job;
};

/// Exit codes of baobabctl.
enum class CtlExit {
  Ok = 0,
  Refused = 1,
  Usage = 2,
  Conflict = 3,
  /// The command may or may not have taken effect, or a job that was waited
  /// for has not ended.
  Unknown = 4,
  /// No entry could be reached; nothing was sent.
  Unreachable = 5,
};

/// Runs one command of baobabctl against the first reachable entry.
class CtlCommand {
public:
  CtlCommand(CtlOptions Options, std::ostream &Out, std::ostream &Err);

  /// Runs the command. \p CommandLine holds the verb and its arguments without
  /// flags. Prints the usage text and returns CtlExit::Usage for an unknown
  /// verb or a wrong number of arguments.
  CtlExit run(const std::vector<std::string> &CommandLine);

  /// Returns the help text: one line for each verb, then the exit codes.
  static std::string usage();

private:
  using Words = std::vector<std::string>;

  struct Verb {
    std::string_view Name;
    std::string_view Arguments;
    std::string_view Help;
    std::size_t ArgumentCount;
    CtlExit (CtlCommand::*Run)(const Words &Arguments);
  };
  static const std::vector<Verb> &verbs();

  CtlExit validateConfiguration(const Words &Arguments);
  CtlExit diffConfiguration(const Words &Arguments);
  CtlExit applyConfiguration(const Words &Arguments);
  CtlExit showHistory(const Words &Arguments);
  CtlExit submitJob(const Words &Arguments);
  CtlExit showJob(const Words &Arguments);
  CtlExit waitForJob(const Words &Arguments);
  CtlExit cancelJob(const Words &Arguments);
  CtlExit listJobs(const Words &Arguments);
  CtlExit sendRequest(const Words &Arguments);
  CtlExit createTicket(const Words &Arguments);
  CtlExit listWorkspaces(const Words &Arguments);
  CtlExit listMembers(const Words &Arguments);
  CtlExit listMinions(const Words &Arguments);
  CtlExit listWorkers(const Words &Arguments);
  CtlExit drain(const Words &Arguments);
  CtlExit undrain(const Words &Arguments);
  CtlExit evacuate(const Words &Arguments);
  CtlExit restore(const Words &Arguments);
  CtlExit listDataCentres(const Words &Arguments);
  CtlExit state(const Words &Arguments);
  CtlExit digest(const Words &Arguments);

  /// Sends a request to the entries in order until one is reachable.
  Expected<HttpClientResponse> call(const std::string &Method,
                                    const std::string &Path,
                                    const std::string &Body = {},
                                    const HttpCall &Extra = {});
  CtlExit reportError(const Error &Fault);
  CtlExit reportErrorResponse(const HttpClientResponse &Response);
  /// Prints a JSON object as one row per key, or as it came with --output=json.
  CtlExit printObject(const Expected<HttpClientResponse> &Response);
  /// Prints the objects of the array \p ListKey as a table of \p Columns;
  /// dotted column names select fields of nested objects. A non-empty \p Kind
  /// keeps only objects of that kind.
  CtlExit printList(const Expected<HttpClientResponse> &Response,
                    const std::string &ListKey,
                    const std::vector<std::string> &Columns,
                    const std::string &Kind = {});
  /// Reads the active configuration; an empty bundle when there is none yet.
  Expected<wire::ConfigurationBundle> fetchActiveBundle();
  CtlExit setDraining(const std::string &Node, const std::string &Method);
  CtlExit sendConfiguration(const Words &Arguments, bool CheckOnly);

  const CtlOptions Options;
  std::ostream &Out;
  std::ostream &Err;
};

} // namespace baobabcove

#endif // BAOBABCOVE_CLI_CTLCOMMAND_H
