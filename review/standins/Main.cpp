/// \file
/// Stand-ins for the review's scripts: a store, a minion and a client.
///
///   review-standin store ADDRESS CONTROL
///   review-standin minion ID ADDRESS AGENT SERVICE ZONE RACK RECORD
///   review-standin call RECORD METHOD ADDRESS PATH HOST KEY [BODY]
///   review-standin ports COUNT
///
/// The client records the call, and prints the status and the body.

#include "Http.h"
#include "Minion.h"
#include "Record.h"
#include "Store.h"

#include <chrono>
#include <iostream>
#include <list>
#include <string>
#include <thread>
#include <vector>

#include <Poco/Net/ServerSocket.h>

namespace baobabcove::review {
namespace {

using Arguments = std::vector<std::string>;

constexpr std::chrono::milliseconds UpdatePeriod{10};
constexpr std::chrono::milliseconds HeartbeatPeriod{1500};
/// Clients wait this long; the longest deadline on the pages' sheets.
constexpr int ClientTimeoutMs = 3000;

int runStore(const Arguments &Words) {
  Store State;
  const auto Calls = serve(Words.at(1), [&](const Request &Message) {
    return State.answerCall(Message);
  });
  const auto Control = serve(Words.at(2), [&](const Request &Message) {
    return State.answerControl(Message);
  });
  for (;;) {
    State.update();
    std::this_thread::sleep_for(UpdatePeriod);
  }
}

int runMinion(const Arguments &Words) {
  Minion State({Words.at(1), Words.at(2), Words.at(3), Words.at(4), Words.at(5),
                Words.at(6), Words.at(7)});
  const auto Calls = serve(Words.at(2), [&](const Request &Message) {
    return State.answerCall(Message);
  });
  std::thread([&] {
    for (;;) {
      State.sendHeartbeat();
      std::this_thread::sleep_for(HeartbeatPeriod);
    }
  }).detach();
  for (;;) {
    State.update();
    std::this_thread::sleep_for(UpdatePeriod);
  }
}

int runCall(const Arguments &Words) {
  const Record Events(Words.at(1), "client");
  Request Message;
  Message.Method = Words.at(2);
  Message.Path = Words.at(4);
  Message.Headers["Host"] = Words.at(5);
  Message.Headers["Authorization"] = "Bearer " + Words.at(6);
  Message.Body = Words.size() > 7 ? Words[7] : "";
  const std::string Name = Message.Method + " " + Message.Path;
  Events.write("send " + Name + " to " + Words.at(3));
  const Response Reply = call(Words.at(3), Message, ClientTimeoutMs);
  Events.write("answer " + Name + " status=" + std::to_string(Reply.Status) +
               " " + Reply.Body);
  std::cout << Reply.Status << ' ' << Reply.Body << '\n';
  return 0;
}

/// Prints ports that are free on the loopback address.
int printPorts(const Arguments &Words) {
  std::list<Poco::Net::ServerSocket> Taken;
  for (int I = 0; I < std::stoi(Words.at(1)); ++I) {
    Taken.emplace_back(Poco::Net::SocketAddress("127.0.0.1", 0));
    std::cout << Taken.back().address().port() << '\n';
  }
  return 0;
}

int run(const Arguments &Words) {
  if (Words.at(0) == "store")
    return runStore(Words);
  if (Words.at(0) == "minion")
    return runMinion(Words);
  if (Words.at(0) == "call")
    return runCall(Words);
  if (Words.at(0) == "ports")
    return printPorts(Words);
  return 2;
}

} // namespace
} // namespace baobabcove::review

int main(int Count, char **Words) {
  try {
    return baobabcove::review::run({Words + 1, Words + Count});
  } catch (const std::exception &Failure) {
    std::cerr << Failure.what() << '\n';
    return 2;
  }
}
