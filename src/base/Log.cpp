#include "base/Log.h"

#include <Poco/JSON/Object.h>

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
  log4cplus::SharedAppenderPtr Console(
      new log4cplus::ConsoleAppender(Target == LogTarget::StandardError, true));
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
