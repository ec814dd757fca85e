/// \file
/// The calls to agents by which a coordinator's decisions take effect.

#ifndef BAOBABCOVE_COORDINATOR_GANGACTIONS_H
#define BAOBABCOVE_COORDINATOR_GANGACTIONS_H

#include "baobabcove/Ids.h"
#include "config/Settings.h"
#include "coordinator/JobLife.h"
#include "coordinator/Recorder.h"
#include "entry/JobBook.h"
#include "rpc/Rpc.h"

#include <vector>

namespace baobabcove {

/// A gang to be started.
struct StartOrder {
  Epoch By;
  JobId Job;
  Attempt Number;
  std::vector<wire::GangMember> Members;
  bool Borrowed = false;
  Milliseconds Resume{0};
};

/// A gang to be stopped, or its ended parts to be forgotten.
struct StopOrder {
  Epoch By;
  JobId Job;
  Attempt Number;
  std::vector<wire::GangMember> Members;
  bool Checkpoint = false;
  Milliseconds Deadline{0};
  bool Forget = false;
};

/// How a start went.
struct StartOutcome {
  /// False when surely nothing of the gang will run.
  bool MayRun = false;
  /// The member that refused, if one did.
  std::string Refusing;
  Error Reason;
};

/// Carries orders out. Thread-safe; each call blocks until it is done.
class GangActions {
public:
  GangActions(RpcPeers &Peers, JobBook &Book, const Recorder &Records,
              const JobLife &Life);

  /// Reserves on every member, records the start, then arms every member. The
  /// record comes before the first order to run, so that a successor knows of
  /// whatever may run.
  StartOutcome start(const StartOrder &Order);

  /// Tells the lead first, so that it lets the other members checkpoint.
  void stop(const StopOrder &Order);

  /// Asks an agent for its parts and fences it against older epochs.
  Expected<wire::InventoryReply> inventory(const std::string &Address,
                                           Epoch By);

private:
  StartOutcome reserveAll(const StartOrder &Order, const wire::JobSpec &Spec);
  Expected<wire::JobRecord> recordStart(const StartOrder &Order);
  void armAll(const StartOrder &Order, const wire::JobRecord &Record);

  RpcPeers &Peers;
  JobBook &Book;
  const Recorder &Records;
  const JobLife &Life;
};

} // namespace baobabcove

#endif // BAOBABCOVE_COORDINATOR_GANGACTIONS_H
