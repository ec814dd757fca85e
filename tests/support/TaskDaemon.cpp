#include "TaskDaemon.h"

#include "baobabcove/Clock.h"
#include "base/Text.h"

#include <filesystem>
#include <fstream>
#include <thread>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace baobabcove::testing {

namespace {

/// Longer than the grace period of an entry.
constexpr Milliseconds StopTimeout{8000};

} // namespace

std::string ownAddress(unsigned Network) {
  const auto Id = static_cast<unsigned>(::getpid());
  return "127." + std::to_string(Network + ((Id >> 16) & 31)) + "." +
         std::to_string((Id >> 8) & 255) + "." + std::to_string(Id & 255);
}

TaskDaemon::TaskDaemon(const std::string &Program, const std::string &Ip,
                       long MemoryMb, const std::string &Store,
                       const std::string &More)
    : Program(Program), Ip(Ip),
      Path(std::filesystem::temp_directory_path() /
           (Program + "-" + Ip + "-" + std::to_string(::getpid()))) {
  std::ofstream(Path) << "node=n-" << Program << "-" << Ip
                      << "\nzone=z\nip=" << Ip << "\nlisten.front=" << Ip
                      << ":8080\nlisten.ready=" << Ip
                      << ":8081\nlisten.control=" << Ip
                      << ":8082\nport_range=8090,8099\nlimits.memory_mb="
                      << MemoryMb << "\nplatform.address=" << Store << "\n"
                      << More;
  start();
}

TaskDaemon::~TaskDaemon() {
  kill();
  std::filesystem::remove(Path);
  std::filesystem::remove(logPath());
}

void TaskDaemon::start() {
  DisturbedAt = monotonicNow();
  Id = ::fork();
  if (Id != 0)
    return;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  ::setenv("BAOBABCOVE_BOOT", Path.c_str(), 1);
  const int Log =
      ::open(logPath().c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::dup2(Log, STDOUT_FILENO);
  ::dup2(Log, STDERR_FILENO);
  ::close_range(STDERR_FILENO + 1, ~0U, 0);
  const std::string File = std::string(PROGRAM_FOLDER) + "/" + Program;
  ::execl(File.c_str(), File.c_str(), nullptr);
  ::_exit(127);
}

void TaskDaemon::signal(int Number) const {
  DisturbedAt = monotonicNow();
  if (Id > 0)
    ::kill(Id, Number);
}

void TaskDaemon::kill() {
  if (Id <= 0)
    return;
  DisturbedAt = monotonicNow();
  ::kill(Id, SIGKILL);
  ::waitpid(Id, nullptr, 0);
  Id = -1;
}

void TaskDaemon::stop() {
  signal(SIGTERM);
  for (const Instant End = monotonicNow() + StopTimeout;
       Id > 0 && monotonicNow() < End;
       std::this_thread::sleep_for(Milliseconds(20)))
    if (::waitpid(Id, nullptr, WNOHANG) == Id)
      Id = -1;
  kill();
}

long TaskDaemon::status(const std::string &Name) const {
  std::string Text;
  (void)readFile("/proc/" + std::to_string(Id) + "/status", Text);
  const std::size_t At = Text.find(Name + ":");
  return At == std::string::npos
             ? 0
             : std::atol(Text.c_str() + At + Name.size() + 1);
}

} // namespace baobabcove::testing
