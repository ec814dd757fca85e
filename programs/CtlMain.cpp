#include "base/Text.h"
#include "cli/CtlCommand.h"

#include <iostream>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

ABSL_FLAG(std::vector<std::string>, entry, {},
          "ip:port of entries; the first reachable one is used");
ABSL_FLAG(std::string, token, "", "bearer token of a workspace or operator");
ABSL_FLAG(std::string, token_file, "", "file that holds the token");
ABSL_FLAG(std::string, output, "table", "table or json");
ABSL_FLAG(int, timeout_ms, 10000, "time to wait for a response, ms");
ABSL_FLAG(std::string, key, "", "idempotency key of a request or job");
ABSL_FLAG(bool, idempotent, false,
          "whether the request or job may run more than once");
ABSL_FLAG(uint32_t, deadline_ms, 0, "deadline of a request, ms");
ABSL_FLAG(std::string, name, "", "job: display name");
ABSL_FLAG(std::string, job_class, "",
          "job: class of jobs with similar run times");
ABSL_FLAG(uint32_t, tasks, 1, "job: number of tasks in the gang");
ABSL_FLAG(uint32_t, accelerators, 1, "job: accelerators for each task");
ABSL_FLAG(std::string, adjacency, "any",
          "job: any, same_worker, same_rack or same_data_centre");
ABSL_FLAG(uint32_t, cores, 0, "job: cores for each task");
ABSL_FLAG(uint64_t, memory_mb, 0, "job: memory for each task, MiB");
ABSL_FLAG(uint64_t, run_ms, 0, "job: declared run time, ms");
ABSL_FLAG(bool, urgent, false, "job: urgent, to start within seconds");
ABSL_FLAG(std::string, payload, "", "job: payload passed to the worker");

namespace {

using namespace baobabcove;

/// Sets the adjacency of \p Job from its flag; returns false for an unknown
/// name.
bool readAdjacency(wire::JobSpec &Job) {
  std::string Name = absl::GetFlag(FLAGS_adjacency);
  for (char &C : Name)
    C = static_cast<char>(std::toupper(static_cast<unsigned char>(C)));
  wire::Adjacency Value{};
  if (!wire::Adjacency_Parse(Name, &Value))
    return false;
  Job.set_adjacency(Value);
  return true;
}

/// Fills \p Options from the flags. Prints an error and returns false when a
/// flag is invalid.
bool readOptions(CtlOptions &Options) {
  Options.Entries = absl::GetFlag(FLAGS_entry);
  Options.Token = absl::GetFlag(FLAGS_token);
  const std::string TokenFile = absl::GetFlag(FLAGS_token_file);
  if (!TokenFile.empty()) {
    if (!readFile(TokenFile, Options.Token)) {
      std::cerr << "--token_file: cannot read " << TokenFile << ".\n";
      return false;
    }
    while (!Options.Token.empty() && std::isspace(Options.Token.back()))
      Options.Token.pop_back();
  }
  const std::string Output = absl::GetFlag(FLAGS_output);
  if (Output != "table" && Output != "json") {
    std::cerr << "--output must be table or json.\n";
    return false;
  }
  Options.Json = Output == "json";
  Options.Timeout = Milliseconds(absl::GetFlag(FLAGS_timeout_ms));
  Options.Key = absl::GetFlag(FLAGS_key);
  Options.Idempotent = absl::GetFlag(FLAGS_idempotent);
  Options.DeadlineMs = absl::GetFlag(FLAGS_deadline_ms);
  wire::JobSpec &Job = Options.Job;
  Job.set_name(absl::GetFlag(FLAGS_name));
  Job.set_job_class(absl::GetFlag(FLAGS_job_class));
  Job.set_tasks(absl::GetFlag(FLAGS_tasks));
  Job.set_accelerators_per_task(absl::GetFlag(FLAGS_accelerators));
  Job.set_cores_per_task(absl::GetFlag(FLAGS_cores));
  Job.set_memory_mb_per_task(absl::GetFlag(FLAGS_memory_mb));
  Job.set_declared_run_ms(absl::GetFlag(FLAGS_run_ms));
  Job.set_urgent(absl::GetFlag(FLAGS_urgent));
  Job.set_idempotent(Options.Idempotent);
  Job.set_payload(absl::GetFlag(FLAGS_payload));
  if (!readAdjacency(Job)) {
    std::cerr << "--adjacency must be any, same_worker, same_rack or "
                 "same_data_centre.\n";
    return false;
  }
  return true;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  absl::SetProgramUsageMessage(CtlCommand::usage());
  // Makes --help list the flags of this file only, not those of libraries.
  absl::FlagsUsageConfig Config;
  Config.contains_help_flags = [](absl::string_view File) {
    return File.find("CtlMain") != absl::string_view::npos;
  };
  absl::SetFlagsUsageConfig(Config);
  std::vector<char *> Positional =
      absl::ParseCommandLine(ArgumentCount, Arguments);
  std::vector<std::string> Words(Positional.begin() + 1, Positional.end());
  CtlOptions Options;
  if (!readOptions(Options))
    return static_cast<int>(CtlExit::Usage);
  CtlCommand Command(Options, std::cout, std::cerr);
  return static_cast<int>(Command.run(Words));
}
