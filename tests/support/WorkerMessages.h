#ifndef BAOBABCOVE_TESTS_SUPPORT_WORKERMESSAGES_H
#define BAOBABCOVE_TESTS_SUPPORT_WORKERMESSAGES_H

#include "Dice.h"
#include "WorkerFleet.h"

#include <string>

namespace baobabcove::testing {

/// Sends messages about workers to their agents that the workers themselves do
/// not send now: those of other writers, late ones and repeated ones. None of
/// them says anything that holds.
class WorkerMessages {
public:
  WorkerMessages(WorkerFleet &Fleet, Dice &Random)
      : Fleet(Fleet), Random(Random) {}

  /// Sends a heartbeat of another writer.
  void sendForeignHeartbeat(std::size_t Worker);
  /// Repeats an older heartbeat of this incarnation or of an earlier one.
  void repeatHeartbeat(std::size_t Worker);
  /// Repeats the deregistration of an earlier incarnation, which may have had
  /// the id of the present one.
  void repeatDeregistration(std::size_t Worker);

private:
  using Object = Poco::JSON::Object;
  using Change = void (WorkerMessages::*)(std::size_t Worker, std::string &Id,
                                          Object &Body);

  void sendUnreadable(std::size_t Worker);
  std::string anyField();
  std::string anyId();

  void dropField(std::size_t Worker, std::string &Id, Object &Body);
  void mistypeField(std::size_t Worker, std::string &Id, Object &Body);
  void nameUnknownState(std::size_t Worker, std::string &Id, Object &Body);
  void nameUnknownService(std::size_t Worker, std::string &Id, Object &Body);
  void nameForeignAddress(std::size_t Worker, std::string &Id, Object &Body);
  void nameOtherPort(std::size_t Worker, std::string &Id, Object &Body);
  void nameOtherWorker(std::size_t Worker, std::string &Id, Object &Body);
  void beBornInFuture(std::size_t Worker, std::string &Id, Object &Body);
  void takeOtherId(std::size_t Worker, std::string &Id, Object &Body);

  WorkerFleet &Fleet;
  Dice &Random;
};

} // namespace baobabcove::testing

#endif // BAOBABCOVE_TESTS_SUPPORT_WORKERMESSAGES_H
