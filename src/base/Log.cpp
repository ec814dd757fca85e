#include "base/Log.h"

#include "base/LogBudget.h"

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

/// Writes each line as one JSON object.
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

/// Writes lines to standard output and never waits for its reader: a line
/// beyond the budget, or one that the pipe has no room for, is left out and
/// counted, and the count is told in the next line that goes out.
class BoundedOutput : public log4cplus::Appender {
public:
  ~BoundedOutput() override { destructorImpl(); }
  void close() override { closed = true; }

protected:
  // Called under the appender's lock.
  void append(const log4cplus::spi::InternalLoggingEvent &Event) override {
    const auto Now = monotonicNow();
    std::ostringstream Line;
    layout->formatAndAppend(Line, Event);
    if (!Budget.spend(Now) || !write(Line.str())) {
      ++LeftOut;
      return;
    }
    if (LeftOut == 0)
      return;
    const std::string Told =
        "{\"level\":\"WARN\",\"message\":\"log lines left out count=" +
        std::to_string(LeftOut) + "\",\"part\":\"log\"}\n";
    if (write(Told))
      LeftOut = 0;
  }

private:
  static bool write(const std::string &Line) {
    pollfd Output{STDOUT_FILENO, POLLOUT, 0};
    if (poll(&Output, 1, 0) != 1 || !(Output.revents & POLLOUT))
      return false;
    // A pipe that can be written to has room for a page, which no line fills.
    return ::write(STDOUT_FILENO, Line.data(),
                   std::min(Line.size(), LongestLine)) >= 0;
  }

  static constexpr std::size_t LongestLine = 4096;
  LogBudget Budget;
  std::uint64_t LeftOut = 0;
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
    Console = new BoundedOutput();
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
