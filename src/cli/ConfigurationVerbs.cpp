#include "cli/CtlCommand.h"

#include "base/Text.h"
#include "config/Configuration.h"

#include <algorithm>
#include <ostream>
#include <sstream>

namespace baobabcove {

namespace {

constexpr int HttpOk = 200;

using Lines = std::vector<std::string>;

/// Returns the files of a folder as a bundle without a version.
wire::ConfigurationBundle
toBundle(const std::vector<wire::ConfigurationFile> &Files) {
  wire::ConfigurationBundle Bundle;
  for (const auto &File : Files)
    *Bundle.add_files() = File;
  return Bundle;
}

/// Returns the lines of one file of \p Bundle, or none when the bundle has no
/// such file.
Lines linesOfFile(const wire::ConfigurationBundle &Bundle,
                  const std::string &Name) {
  Lines Result;
  for (const auto &File : Bundle.files()) {
    if (File.name() != Name)
      continue;
    std::istringstream In(File.content());
    for (std::string Line; std::getline(In, Line);)
      Result.push_back(Line);
  }
  return Result;
}

/// Prints the lines of \p Source that are not in \p Other, each after
/// \p Prefix.
void printLinesNotIn(std::ostream &Out, const char *Prefix, const Lines &Source,
                     const Lines &Other) {
  for (const std::string &Line : Source)
    if (std::find(Other.begin(), Other.end(), Line) == Other.end())
      Out << Prefix << Line << '\n';
}

} // namespace

Expected<wire::ConfigurationBundle> CtlCommand::fetchActiveBundle() {
  const auto Response = call("GET", "/v1/configuration");
  if (!Response)
    return tl::unexpected<Error>(Response.error());
  wire::ConfigurationBundle Bundle;
  // Before the first configuration the entry cannot identify any caller and
  // refuses the call; the bundle then stays empty, with version 0.
  if (Response->Status != HttpOk)
    return Bundle;
  if (auto Parsed = fromJson(Response->Body, Bundle); !Parsed)
    return tl::unexpected<Error>(Parsed.error());
  return Bundle;
}

CtlExit CtlCommand::sendConfiguration(const Words &Arguments, bool CheckOnly) {
  const auto Files = readConfigurationFolder(Arguments[0]);
  if (!Files)
    return reportError(Files.error());
  const auto Active = fetchActiveBundle();
  if (!Active)
    return reportError(Active.error());
  wire::ApplyRequest Change;
  Change.set_base_version(Active->version());
  Change.set_change_id(randomName());
  for (const auto &File : *Files)
    *Change.add_files() = File;
  return printObject(call("POST",
                          CheckOnly ? "/v1/configuration?check_only=true"
                                    : "/v1/configuration",
                          toJson(Change)));
}

CtlExit CtlCommand::validateConfiguration(const Words &Arguments) {
  const auto Files = readConfigurationFolder(Arguments[0]);
  if (!Files)
    return reportError(Files.error());
  const ConfigurationReport Report = readConfiguration(toBundle(*Files));
  for (const ConfigurationError &Fault : Report.Errors)
    Err << Fault.str() << '\n';
  if (!Report.Errors.empty())
    return CtlExit::Refused;
  // Only an entry knows the workers against which guarantees are checked.
  if (!Options.Entries.empty())
    return sendConfiguration(Arguments, true);
  Out << "The configuration folder is valid.\n";
  return CtlExit::Ok;
}

CtlExit CtlCommand::diffConfiguration(const Words &Arguments) {
  const auto Files = readConfigurationFolder(Arguments[0]);
  if (!Files)
    return reportError(Files.error());
  const auto Active = fetchActiveBundle();
  if (!Active)
    return reportError(Active.error());
  const wire::ConfigurationBundle Proposed = toBundle(*Files);
  for (const std::string &Name : changedFiles(*Active, Proposed)) {
    const Lines Before = linesOfFile(*Active, Name);
    const Lines After = linesOfFile(Proposed, Name);
    Out << Name << '\n';
    printLinesNotIn(Out, "- ", Before, After);
    printLinesNotIn(Out, "+ ", After, Before);
  }
  return CtlExit::Ok;
}

CtlExit CtlCommand::applyConfiguration(const Words &Arguments) {
  return sendConfiguration(Arguments, false);
}

CtlExit CtlCommand::showHistory(const Words &) {
  return printList(call("GET", "/v1/configuration"), "history",
                   {"version", "operator", "accepted_at_ms", "changed_files"});
}

} // namespace baobabcove
