// Clients that hand in many jobs with the same body, some at once, and record
// the answers: "flood ID answered STATUS".

#include "Common.h"

#include <atomic>
#include <fstream>
#include <iomanip>
#include <iterator>
#include <sstream>
#include <thread>
#include <vector>

namespace review {

namespace {

constexpr std::int64_t TimeoutMs = 3000;
constexpr int JobIdLength = 16;

std::vector<std::string> parts(const std::string &Text) {
  std::vector<std::string> Parts;
  std::istringstream In(Text);
  for (std::string Part; std::getline(In, Part, ',');)
    Parts.push_back(Part);
  return Parts;
}

} // namespace

int runFlood(const Options &Given) {
  const Record Events(Given.text("record", "/dev/null"));
  const std::vector<std::string> Entries = parts(Given.text("entries", ""));
  std::ifstream File(Given.text("body_file", ""));
  const std::string Body{std::istreambuf_iterator<char>(File), {}};
  const std::int64_t First = Given.number("first", 0);
  const std::int64_t Last = First + Given.number("jobs", 1);
  const auto Clients = static_cast<std::size_t>(Given.number("clients", 1));
  const std::int64_t PauseMs = Given.number("pause_ms", 0);
  const std::map<std::string, std::string> Headers = {
      {"Host", Given.text("host", "")},
      {"Authorization", "Bearer " + Given.text("key", "")}};
  std::atomic<std::int64_t> Next{First};
  std::vector<std::thread> Threads;
  Threads.reserve(Clients);
  for (std::size_t Client = 0; Client < Clients; ++Client)
    Threads.emplace_back([&, Client] {
      const std::string &Entry = Entries[Client % Entries.size()];
      for (std::int64_t Job = Next++; Job < Last; Job = Next++) {
        std::ostringstream Id;
        Id << std::setw(JobIdLength) << std::setfill('0') << Job;
        const Response Answer =
            call(Entry, "POST", "/q/" + Id.str(), Body, TimeoutMs, Headers);
        Events.note("flood " + Id.str() + " answered " +
                    std::to_string(Answer.Status));
        sleepMs(PauseMs);
      }
    });
  for (std::thread &Thread : Threads)
    Thread.join();
  return 0;
}

} // namespace review
