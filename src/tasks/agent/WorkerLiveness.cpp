#include "tasks/agent/WorkerLiveness.h"

namespace baobabcove {

namespace {

/// A worker that has refused all connections for this long has ended: a running
/// worker always listens.
constexpr Milliseconds RefusalTimeout{600};

} // namespace

void WorkerLiveness::noteAnswer() {
  Answers = true;
  RefusingSince = BootInstant{};
}

void WorkerLiveness::noteSilence() {
  Answers = false;
  RefusingSince = BootInstant{};
}

void WorkerLiveness::noteRefusal(BootInstant Now) {
  Answers = false;
  if (RefusingSince == BootInstant{})
    RefusingSince = Now;
}

bool WorkerLiveness::hasEnded(BootInstant Now) const {
  return RefusingSince != BootInstant{} &&
         Now - RefusingSince >= RefusalTimeout;
}

} // namespace baobabcove
