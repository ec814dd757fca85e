#include "Common.h"

#include <sstream>
#include <thread>

#include <fcntl.h>
#include <time.h>
#include <unistd.h>

#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>

namespace review {

namespace {

constexpr std::int64_t NsPerMs = 1000000;
constexpr std::int64_t MsPerS = 1000;
constexpr std::int64_t UsPerMs = 1000;
constexpr int MaxThreads = 128;
constexpr int KeepAliveS = 30;

std::int64_t readClock(clockid_t Clock) {
  timespec Now{};
  ::clock_gettime(Clock, &Now);
  return Now.tv_sec * MsPerS + Now.tv_nsec / NsPerMs;
}

class OneHandler : public Poco::Net::HTTPRequestHandler {
public:
  explicit OneHandler(const Handler &Handle) : Handle(Handle) {}

  void handleRequest(Poco::Net::HTTPServerRequest &In,
                     Poco::Net::HTTPServerResponse &Out) override {
    Request Received;
    const Poco::URI Target(In.getURI());
    Received.Method = In.getMethod();
    Received.Path = Target.getPath();
    for (const auto &[Name, Value] : Target.getQueryParameters())
      Received.Query[Name] = Value;
    Received.ExpectedInstance = In.get("Expected-Instance", "");
    Poco::StreamCopier::copyToString(In.stream(), Received.Body);
    const auto Answer = Handle(Received);
    if (!Answer) {
      static_cast<Poco::Net::HTTPServerRequestImpl &>(In)
          .detachSocket()
          .close();
      return;
    }
    Out.setStatus(
        static_cast<Poco::Net::HTTPResponse::HTTPStatus>(Answer->Status));
    Out.setContentType("application/json");
    Out.sendBuffer(Answer->Body.data(), Answer->Body.size());
  }

private:
  const Handler &Handle;
};

class Factory : public Poco::Net::HTTPRequestHandlerFactory {
public:
  explicit Factory(Handler Handle) : Handle(std::move(Handle)) {}
  Poco::Net::HTTPRequestHandler *
  createRequestHandler(const Poco::Net::HTTPServerRequest &) override {
    return new OneHandler(Handle);
  }

private:
  const Handler Handle;
};

} // namespace

std::int64_t nowMs() { return readClock(CLOCK_BOOTTIME); }
std::int64_t unixMs() { return readClock(CLOCK_REALTIME); }

void sleepMs(std::int64_t Duration) {
  std::this_thread::sleep_for(std::chrono::milliseconds(Duration));
}

Object parse(const std::string &Text) {
  return Poco::JSON::Parser().parse(Text).extract<Object>();
}

std::string textOf(const Object &Body) {
  std::ostringstream Out;
  Body->stringify(Out);
  return Out.str();
}

Options::Options(int Count, char **Arguments) {
  for (int I = 2; I < Count; ++I) {
    const std::string Text = Arguments[I];
    const std::size_t Equals = Text.find('=');
    if (Text.rfind("--", 0) == 0 && Equals != std::string::npos)
      Values[Text.substr(2, Equals - 2)] = Text.substr(Equals + 1);
  }
}

std::string Options::text(const std::string &Name,
                          const std::string &Default) const {
  const auto Found = Values.find(Name);
  return Found == Values.end() ? Default : Found->second;
}

std::int64_t Options::number(const std::string &Name,
                             std::int64_t Default) const {
  const auto Found = Values.find(Name);
  return Found == Values.end() ? Default : std::stoll(Found->second);
}

Record::Record(const std::string &Path)
    : File(::open(Path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644)) {}

void Record::note(const std::string &Event) const {
  const std::string Line = std::to_string(nowMs()) + " " + Event + "\n";
  // One write, so that the lines of several processes do not mix.
  (void)!::write(File, Line.data(), Line.size());
}

std::unique_ptr<Poco::Net::HTTPServer> serve(const std::string &Address,
                                             const Handler &Handle) {
  static Poco::ThreadPool Pool(MaxThreads, MaxThreads);
  Poco::Net::HTTPServerParams::Ptr Parameters = new Poco::Net::HTTPServerParams;
  Parameters->setKeepAlive(true);
  Parameters->setMaxThreads(MaxThreads);
  Parameters->setMaxKeepAliveRequests(0);
  Parameters->setKeepAliveTimeout(Poco::Timespan(KeepAliveS, 0));
  Poco::Net::ServerSocket Socket;
  Socket.bind(Poco::Net::SocketAddress(Address), true);
  Socket.listen();
  auto Server = std::make_unique<Poco::Net::HTTPServer>(
      new Factory(Handle), Pool, Socket, Parameters);
  Server->start();
  return Server;
}

Response call(const std::string &Address, const std::string &Method,
              const std::string &Path, const std::string &Body,
              std::int64_t TimeoutMs,
              const std::map<std::string, std::string> &Headers) {
  Response Answer;
  Answer.Status = 0;
  Answer.Body.clear();
  try {
    Poco::Net::HTTPClientSession Session{Poco::Net::SocketAddress(Address)};
    Session.setTimeout(Poco::Timespan(TimeoutMs * UsPerMs));
    Poco::Net::HTTPRequest Sent(Method, Path, Poco::Net::HTTPRequest::HTTP_1_1);
    Sent.setContentType("application/json");
    Sent.setContentLength(static_cast<std::streamsize>(Body.size()));
    for (const auto &[Name, Value] : Headers)
      Sent.set(Name, Value);
    Session.sendRequest(Sent) << Body << std::flush;
    Poco::Net::HTTPResponse Head;
    std::istream &In = Session.receiveResponse(Head);
    Poco::StreamCopier::copyToString(In, Answer.Body);
    Answer.Status = Head.getStatus();
  } catch (const Poco::Exception &Fault) {
    Answer.Body = Fault.displayText();
  }
  return Answer;
}

int runCall(const Options &Given) {
  std::map<std::string, std::string> Headers;
  if (const std::string Host = Given.text("host", ""); !Host.empty())
    Headers["Host"] = Host;
  if (const std::string Key = Given.text("key", ""); !Key.empty())
    Headers["Authorization"] = "Bearer " + Key;
  const Response Answer =
      call(Given.text("address", ""), Given.text("method", "GET"),
           Given.text("path", "/"), Given.text("body", ""),
           Given.number("timeout_ms", 3000), Headers);
  std::string Line = std::to_string(Answer.Status) + " " + Answer.Body + "\n";
  (void)!::write(STDOUT_FILENO, Line.data(), Line.size());
  return 0;
}

} // namespace review
