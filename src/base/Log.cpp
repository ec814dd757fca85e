#include "base/Log.h"

#include "base/LogRateLimiter.h"

#include <sstream>

#include <poll.h>
#include <unistd.h>

#include <Poco/JSON/Object.h>

#include <log4cplus/appender.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/helpers/timehelper.h>
#include <log4cplus/layout.h>
#include <log4cplus/spi/loggingevent.h>

namespace baobabcove {

namespace {

/// Formats each line as one JSON object.
class JsonLineLayout : public log4cplus::Layout {
public:
  JsonLineLayout(std::string Program, std::string Node)
      : Program(std::move(Program)), Node(std::move(Node)) {}

  void
  formatAndAppend(log4cplus::tostream &Out,
                  const log4cplus::spi::InternalLoggingEvent &Event) override {
    Poco::JSON::Object Line;
    Line.set("time", log4cplus::helpers::getFormattedTime(
                         "%Y-%m-%dT%H:%M:%S.%qZ", Event.getTimestamp(), true));
    Line.set("level", llmCache.toString(Event.getLogLevel()));
    Line.set("program", Program);
    Line.set("node", Node);
    Line.set("part", Event.getLoggerName());
    Line.set("message", Event.getMessage());
    Line.stringify(Out);
    Out << '\n';
  }

private:
  std::string Program;
  std::string Node;
};

/// Writes lines to standard output without blocking on a slow reader. A line
/// that exceeds the rate limit, or finds the pipe full, is dropped and counted.
/// The next line that is written is followed by the count.
class DroppingStdoutAppender : public log4cplus::Appender {
public:
  ~DroppingStdoutAppender() override { destructorImpl(); }
  void close() override { closed = true; }

protected:
  // Called with the appender's lock held.
  void append(const log4cplus::spi::InternalLoggingEvent &Event) override {
    const auto Now = monotonicNow();
    std::ostringstream Line;
    layout->formatAndAppend(Line, Event);
    if (!Limiter.tryAcquire(Now) || !write(Line.str())) {
      ++Dropped;
      return;
    }
    if (Dropped == 0)
      return;
    const std::string Notice =
        "{\"level\":\"WARN\",\"message\":\"log lines left out count=" +
        std::to_string(Dropped) + "\",\"part\":\"log\"}\n";
    if (write(Notice))
      Dropped = 0;
  }

private:
  static bool write(const std::string &Line) {
    pollfd Output{STDOUT_FILENO, POLLOUT, 0};
    if (poll(&Output, 1, 0) != 1 || !(Output.revents & POLLOUT))
      return false;
    // A pipe that is ready for writing has room for a page of 4096 bytes. Lines
    // are shorter than that; a longer one would be truncated.
    return ::write(STDOUT_FILENO, Line.data(),
                   std::min(Line.size(), MaxLineBytes)) >= 0;
  }

  static constexpr std::size_t MaxLineBytes = 4096;
  LogRateLimiter Limiter;
  std::uint64_t Dropped = 0;
};

std::unique_ptr<log4cplus::Layout> makeLayout(const std::string &Program,
                                              const std::string &Node,
                                              LogFormat Format) {
  if (Format == LogFormat::Json)
    return std::make_unique<JsonLineLayout>(Program, Node);
  return std::make_unique<log4cplus::PatternLayout>("%D{%H:%M:%S.%q} %-5p " +
                                                    Node + " [%c] %m%n");
}

} // namespace

void startLogging(const std::string &Program, const std::string &Node,
                  LogFormat Format, LogTarget Target) {
  log4cplus::initialize();
  log4cplus::SharedAppenderPtr Console;
  if (Target == LogTarget::StandardOutput)
    Console = new DroppingStdoutAppender();
  else
    Console = new log4cplus::ConsoleAppender(true, true);
  Console->setLayout(makeLayout(Program, Node, Format));
  auto Root = log4cplus::Logger::getRoot();
  Root.removeAllAppenders();
  Root.addAppender(Console);
  Root.setLogLevel(log4cplus::INFO_LOG_LEVEL);
}

log4cplus::Logger logOf(const std::string &Part) {
  return log4cplus::Logger::getInstance(Part);
}

} // namespace baobabcove
