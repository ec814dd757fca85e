//===-- Call.cpp - A client
//--------------------------------------------------===//
//
// call METHOD ADDRESS HOST PATH [BODY [KEY]]: makes one call and prints the
// status and the body of the answer; 000 if there is none.
//
// flood HOST KEY BODY COUNT THREADS PAUSE_MS ADDRESS...: submits COUNT jobs
// with the same body, from so many clients at once, each with a pause after a
// call, and prints "unix-ms id status" for each.
//
// "@FILE" as a body stands for the contents of the file.
//
//===----------------------------------------------------------------------===//

#include "Programs.h"

#include <atomic>
#include <chrono>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <iterator>
#include <mutex>
#include <sstream>
#include <thread>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>

namespace review {

namespace {

constexpr long TimeoutSeconds = 3;
constexpr std::size_t StatusLength = 3;
/// Number of the first job of a flood.
constexpr int FirstJob = 0xb000;
constexpr int JobIdLength = 16;

std::int64_t unixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// Returns the contents of the file that "@FILE" names, or the text itself.
std::string bodyOf(const std::string &Text) {
  if (Text.empty() || Text.front() != '@')
    return Text;
  std::ifstream In(Text.substr(1));
  return {std::istreambuf_iterator<char>(In), std::istreambuf_iterator<char>()};
}

/// Makes a call and returns the status and the body of its answer.
std::string makeCall(Poco::Net::HTTPClientSession &Session,
                     const std::string &Method, const std::string &Host,
                     const std::string &Path, const std::string &Body,
                     const std::string &Key) {
  try {
    Poco::Net::HTTPRequest Request(Method, Path,
                                   Poco::Net::HTTPMessage::HTTP_1_1);
    Request.set("Host", Host);
    if (!Key.empty())
      Request.set("Authorization", "Bearer " + Key);
    Request.setContentType("application/json");
    Request.setKeepAlive(true);
    Request.setContentLength(static_cast<std::streamsize>(Body.size()));
    Session.sendRequest(Request) << Body << std::flush;
    Poco::Net::HTTPResponse Response;
    std::istream &In = Session.receiveResponse(Response);
    std::string Answer;
    Poco::StreamCopier::copyToString(In, Answer);
    return std::to_string(Response.getStatus()) + " " + Answer;
  } catch (const Poco::Exception &Problem) {
    Session.reset();
    return "000 " + Problem.displayText();
  }
}

} // namespace

int runFlood(const std::vector<std::string> &Arguments) {
  const std::string &Host = Arguments.at(0);
  const std::string &Key = Arguments.at(1);
  const std::string Body = bodyOf(Arguments.at(2));
  const int Count = std::stoi(Arguments.at(3));
  const int Threads = std::stoi(Arguments.at(4));
  const std::chrono::milliseconds Pause(std::stoi(Arguments.at(5)));
  const std::vector<std::string> Addresses(Arguments.begin() + 6,
                                           Arguments.end());
  std::atomic<int> Next{0};
  std::mutex Mutex;
  std::vector<std::thread> Clients;
  Clients.reserve(static_cast<std::size_t>(Threads));
  for (int Thread = 0; Thread < Threads; ++Thread)
    Clients.emplace_back([&, Thread] {
      Poco::Net::HTTPClientSession Session{Poco::Net::SocketAddress(
          Addresses[std::size_t(Thread) % Addresses.size()])};
      Session.setTimeout(Poco::Timespan(TimeoutSeconds, 0));
      for (int Job = Next++; Job < Count; Job = Next++) {
        std::ostringstream Id;
        Id << std::hex << std::setw(JobIdLength) << std::setfill('0')
           << FirstJob + Job;
        const std::string Answer =
            makeCall(Session, "POST", Host, "/queue/" + Id.str(), Body, Key);
        {
          const std::lock_guard<std::mutex> Lock(Mutex);
          std::cout << unixMs() << ' ' << Id.str() << ' '
                    << Answer.substr(0, StatusLength) << std::endl;
        }
        std::this_thread::sleep_for(Pause);
      }
    });
  for (std::thread &Client : Clients)
    Client.join();
  return 0;
}

int runCall(const std::vector<std::string> &Arguments) {
  if (Arguments.size() < 4)
    return 2;
  const auto Argument = [&](std::size_t I) {
    return I < Arguments.size() ? Arguments[I] : std::string();
  };
  Poco::Net::HTTPClientSession Session{Poco::Net::SocketAddress(Argument(1))};
  Session.setTimeout(Poco::Timespan(TimeoutSeconds, 0));
  std::cout << makeCall(Session, Argument(0), Argument(2), Argument(3),
                        bodyOf(Argument(4)), Argument(5))
            << std::endl;
  return 0;
}

} // namespace review
