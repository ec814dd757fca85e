#ifndef BAOBABCOVE_COORDINATOR_GANGACTIONS_H
#define BAOBABCOVE_COORDINATOR_GANGACTIONS_H

#include "baobabcove/Ids.h"
#include "config/Settings.h"
#include "coordinator/JobRecordWriter.h"
#include "coordinator/JobStateMachine.h"
#include "entry/JobStore.h"
#include "rpc/Rpc.h"

#include <vector>

namespace baobabcove {

/// Order to start a gang.
struct StartOrder {
  Epoch IssuerEpoch;
  JobId Job;
  Attempt Number;
  std::vector<wire::GangMember> Members;
  bool Borrowed = false;
  /// Run time saved by the last checkpoint, from which the gang resumes.
  Milliseconds ResumeFrom{0};
};

/// Order to stop a gang, or to delete the records of its ended parts.
struct StopOrder {
  Epoch IssuerEpoch;
  JobId Job;
  Attempt Number;
  std::vector<wire::GangMember> Members;
  bool Checkpoint = false;
  Milliseconds Deadline{0};
  /// Whether the agents delete the records of the parts afterwards.
  bool Forget = false;
};

/// Result of an order to start a gang.
struct StartOutcome {
  /// False only when it is certain that no part of the gang will run.
  bool MayRun = false;
  /// The member that refused its reservation; empty if none did.
  std::string RefusingNode;
  Error Reason;
};

/// Carries out the coordinator's orders by calls to the agents of a gang's
/// members. Thread-safe; each function blocks until its calls have returned.
class GangActions {
public:
  GangActions(RpcPeers &Peers, JobStore &JobRecords,
              const JobRecordWriter &RecordWriter,
              const JobStateMachine &JobStates);

  /// Reserves accelerators on every member, stores the start in the job record,
  /// then arms every member. The record is written before the first order to
  /// run, so that the next coordinator knows of every gang that may run.
  StartOutcome start(const StartOrder &Order);

  /// Stops every member. Calls the lead agent first, so that it lets the other
  /// members write their checkpoints.
  void stop(const StopOrder &Order);

  /// Returns the parts that an agent holds. From then on the agent refuses
  /// orders of epochs older than \p IssuerEpoch. Fails when the agent is
  /// unreachable or has seen a newer epoch.
  Expected<wire::InventoryReply> inventory(const std::string &Address,
                                           Epoch IssuerEpoch);

private:
  StartOutcome reserveAll(const StartOrder &Order, const wire::JobSpec &Spec);
  Expected<wire::JobRecord> recordStart(const StartOrder &Order);
  void armAll(const StartOrder &Order, const wire::JobRecord &Record);

  RpcPeers &Peers;
  JobStore &JobRecords;
  const JobRecordWriter &RecordWriter;
  const JobStateMachine &JobStates;
};

} // namespace baobabcove

#endif // BAOBABCOVE_COORDINATOR_GANGACTIONS_H
