/// \file
/// The verbs of baobabctl, apart from its flags.

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

/// What the flags say.
struct CtlOptions {
  std::vector<std::string> Entries;
  std::string Token;
  bool Json = false;
  Milliseconds Timeout{10000};
  std::string Key;
  bool Idempotent = false;
  /// Deadline of a request; zero for the service's own.
  std::uint32_t DeadlineMs = 0;
  wire::JobSpec Job;
};

/// Exit codes of the program.
enum class CtlExit {
  Ok = 0,
  Refused = 1,
  Usage = 2,
  Conflict = 3,
  Unknown = 4,
  Unreachable = 5,
};

/// Runs one command line against the first entry that answers.
class CtlCommand {
public:
  CtlCommand(CtlOptions Options, std::ostream &Out, std::ostream &Err);

  /// \p Words are the verb and its arguments.
  CtlExit run(const std::vector<std::string> &Words);

  /// One line for each verb.
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
  CtlExit takeTicket(const Words &Arguments);
  CtlExit listWorkspaces(const Words &Arguments);
  CtlExit listMembers(const Words &Arguments);
  CtlExit listMinions(const Words &Arguments);
  CtlExit listWorkers(const Words &Arguments);
  CtlExit drain(const Words &Arguments);
  CtlExit undrain(const Words &Arguments);
  CtlExit state(const Words &Arguments);
  CtlExit digest(const Words &Arguments);

  Expected<HttpAnswer> call(const std::string &Method, const std::string &Path,
                            const std::string &Body = {},
                            const HttpCall &Extra = {});
  CtlExit report(const Error &Fault);
  CtlExit reportAnswer(const HttpAnswer &Answer);
  CtlExit printObject(const Expected<HttpAnswer> &Answer);
  CtlExit printRows(const Expected<HttpAnswer> &Answer, const std::string &List,
                    const std::vector<std::string> &Columns,
                    const std::string &Kind = {});
  Expected<wire::ConfigurationBundle> presentBundle();
  CtlExit setDraining(const std::string &Node, const std::string &Method);
  CtlExit sendConfiguration(const Words &Arguments, bool CheckOnly);

  const CtlOptions Options;
  std::ostream &Out;
  std::ostream &Err;
};

} // namespace baobabcove

#endif // BAOBABCOVE_CLI_CTLCOMMAND_H
