#ifndef BAOBABCOVE_TASKS_AGENT_WORKERLIVENESS_H
#define BAOBABCOVE_TASKS_AGENT_WORKERLIVENESS_H

#include "baobabcove/Clock.h"

namespace baobabcove {

/// Tells a worker whose process has ended from one that is only silent, from
/// the results of an agent's calls. Not thread-safe.
class WorkerLiveness {
public:
  void noteAnswer();
  /// Records a call without an answer. A worker that does not answer may still
  /// run its tasks, so silence never counts as an end.
  void noteSilence();
  /// Records a call whose connection was refused: no process listens.
  void noteRefusal(BootInstant Now);

  /// Whether the last call was answered, or none has ended yet.
  bool answers() const { return Answers; }
  /// Whether the worker's host refused the last connection.
  bool refuses() const { return RefusingSince != BootInstant{}; }
  /// Whether only refusals have been seen for so long that the process must
  /// have ended.
  bool hasEnded(BootInstant Now) const;

private:
  bool Answers = true;
  /// Time of the first refusal since the last other result; zero if none.
  BootInstant RefusingSince{};
};

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_AGENT_WORKERLIVENESS_H
