#include "Process.h"

#include <csignal>
#include <cstring>
#include <sstream>
#include <thread>

#include <fcntl.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace baobabcove::testing {

namespace {

constexpr int ReadyTimeoutMs = 30000;

/// Reads lines from a pipe until one begins with "ready". Returns it, or an
/// empty string when the pipe ends or is silent for ReadyTimeoutMs.
std::string readReadyLine(int ReadEnd) {
  std::string Text;
  char Byte = 0;
  pollfd Poll{ReadEnd, POLLIN, 0};
  while (::poll(&Poll, 1, ReadyTimeoutMs) > 0 &&
         ::read(ReadEnd, &Byte, 1) == 1) {
    if (Byte != '\n') {
      Text += Byte;
      continue;
    }
    if (Text.rfind("ready", 0) == 0)
      return Text;
    Text.clear();
  }
  return {};
}

} // namespace

bool Process::start(const std::vector<std::string> &Command,
                    const std::string &LogPath) {
  int Pipe[2];
  if (::pipe(Pipe) != 0)
    return false;
  std::vector<char *> Arguments;
  for (const std::string &Each : Command)
    Arguments.push_back(const_cast<char *>(Each.c_str()));
  Arguments.push_back(nullptr);
  Id = ::fork();
  if (Id == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int Log =
        ::open(LogPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(Pipe[1], STDOUT_FILENO);
    ::dup2(Log, STDERR_FILENO);
    // Connections of callers, and pipes of other threads that start processes.
    ::close_range(STDERR_FILENO + 1, ~0U, 0);
    ::execv(Arguments[0], Arguments.data());
    ::_exit(127);
  }
  ::close(Pipe[1]);
  std::istringstream Line(readReadyLine(Pipe[0]));
  ::close(Pipe[0]);
  std::string Word;
  bool Ready = false;
  while (Line >> Word) {
    Ready = true;
    const std::size_t Equals = Word.find('=');
    if (Equals != std::string::npos)
      Values[Word.substr(0, Equals)] = Word.substr(Equals + 1);
  }
  return Ready;
}

const std::string &Process::value(const std::string &Key) const {
  return Values.at(Key);
}

void Process::kill() {
  if (Id <= 0)
    return;
  ::kill(Id, SIGKILL);
  ::waitpid(Id, nullptr, 0);
  Id = -1;
}

void Process::pause() const { signal(SIGSTOP); }
void Process::resume() const { signal(SIGCONT); }
void Process::terminate() const { signal(SIGTERM); }
void Process::reload() const { signal(SIGHUP); }
void Process::logState() const { signal(SIGUSR1); }

void Process::signal(int Number) const {
  // The id -1 stands for all processes of the user.
  if (running())
    ::kill(Id, Number);
}

bool Process::waitForExit(double Seconds) {
  if (!running())
    return true;
  for (double Waited = 0; Waited < Seconds; Waited += 0.02) {
    if (::waitpid(Id, nullptr, WNOHANG) == Id) {
      Id = -1;
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return false;
}

} // namespace baobabcove::testing
