#include "WorkerMessages.h"

#include <iterator>
#include <vector>

namespace baobabcove::testing {

namespace {

/// Above the sequence that any worker reaches.
constexpr std::int64_t VeryHighSequence = std::int64_t(1) << 40;

} // namespace

void WorkerMessages::sendForeignHeartbeat(std::size_t Worker) {
  static constexpr Change Changes[] = {
      &WorkerMessages::dropField,          &WorkerMessages::mistypeField,
      &WorkerMessages::nameUnknownState,   &WorkerMessages::nameUnknownService,
      &WorkerMessages::nameForeignAddress, &WorkerMessages::nameOtherPort,
      &WorkerMessages::nameOtherWorker,    &WorkerMessages::beBornInFuture,
      &WorkerMessages::takeOtherId};
  const std::size_t Chosen = Random.below(std::size(Changes) + 1);
  if (Chosen == std::size(Changes)) {
    sendUnreadable(Worker);
    return;
  }
  (void)Fleet.sendChangedHeartbeat(
      Worker, [&](std::string &Id, Poco::JSON::Object &Body) {
        // Half of them name the real worker, as its newest heartbeat would.
        if (Random.oneIn(2)) {
          Body.set("sequence", VeryHighSequence + Random.upTo(1000));
        } else {
          Id = anyId();
          Body.set("born", wallClockMs() - Random.upTo(5000));
          Body.set("sequence", 1 + Random.upTo(5));
        }
        (this->*Changes[Chosen])(Worker, Id, Body);
      });
}

void WorkerMessages::repeatHeartbeat(std::size_t Worker) {
  constexpr std::size_t MaxAge = 23;
  (void)Fleet.repeatHeartbeat(Worker, 1 + Random.below(MaxAge));
}

void WorkerMessages::repeatDeregistration(std::size_t Worker) {
  const std::vector<std::string> Ids = Fleet.departedIds(Worker);
  if (!Ids.empty())
    Fleet.announceEnd(Worker, Ids[Random.below(Ids.size())]);
}

void WorkerMessages::sendUnreadable(std::size_t Worker) {
  const std::string Bytes[] = {"",
                               "{",
                               "\xff\xfe{\"service\":",
                               "[1,2]",
                               "null",
                               std::string(3, '\0'),
                               R"({"service":"planner","address":{"a":)"};
  (void)Fleet.sendRawHeartbeat(Worker,
                               Random.oneIn(2) ? Fleet.idOf(Worker) : anyId(),
                               Bytes[Random.below(std::size(Bytes))]);
}

std::string WorkerMessages::anyField() {
  static constexpr const char *Fields[] = {
      "service",           "address",  "zone",
      "version",           "slots",    "state",
      "cold_remaining_ms", "capacity", "labels",
      "sequence",          "clock_ms", "born"};
  return Fields[Random.below(std::size(Fields))];
}

std::string WorkerMessages::anyId() {
  return "i-foreign-" + std::to_string(Random.upTo(20));
}

void WorkerMessages::dropField(std::size_t, std::string &, Object &Body) {
  Body.remove(anyField());
}

void WorkerMessages::mistypeField(std::size_t, std::string &, Object &Body) {
  const std::string Name = anyField();
  if (Body.get(Name).isString())
    Body.set(Name, 7);
  else
    Body.set(Name, std::string(Random.oneIn(2) ? "text" : "7"));
}

void WorkerMessages::nameUnknownState(std::size_t, std::string &,
                                      Object &Body) {
  Body.set("state", "resting");
}

void WorkerMessages::nameUnknownService(std::size_t, std::string &,
                                        Object &Body) {
  Body.set("service", "unknown");
}

void WorkerMessages::nameForeignAddress(std::size_t, std::string &,
                                        Object &Body) {
  Body.set("address", "[::1]:8080");
}

void WorkerMessages::nameOtherPort(std::size_t Worker, std::string &,
                                   Object &Body) {
  const std::string Own = Fleet.addressOf(Worker);
  Body.set("address", Own.substr(0, Own.rfind(':')) + ":8089");
}

void WorkerMessages::nameOtherWorker(std::size_t Worker, std::string &,
                                     Object &Body) {
  const std::size_t Next = Worker + 1 + Random.below(Fleet.size() - 1);
  Body.set("address", Fleet.addressOf(Next % Fleet.size()));
}

void WorkerMessages::beBornInFuture(std::size_t, std::string &, Object &Body) {
  constexpr int MaxAheadMs = 60000;
  Body.set("born", wallClockMs() + 1 + Random.upTo(MaxAheadMs));
}

void WorkerMessages::takeOtherId(std::size_t, std::string &Id, Object &Body) {
  Id = anyId();
  // The start of the real worker, or close to it.
  if (Random.oneIn(2))
    Body.set("born", Body.getValue<std::int64_t>("born") + Random.upTo(3) - 1);
}

} // namespace baobabcove::testing
