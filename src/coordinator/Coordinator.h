/// \file
/// The coordinator's role: drives the decision library for one cell.

#ifndef BAOBABCOVE_COORDINATOR_COORDINATOR_H
#define BAOBABCOVE_COORDINATOR_COORDINATOR_H

#include "base/Metrics.h"
#include "base/Ring.h"
#include "config/ConfigurationKeeper.h"
#include "coordinator/GangActions.h"
#include "coordinator/GangTracker.h"
#include "coordinator/JobLife.h"
#include "coordinator/LossJudge.h"
#include "coordinator/Recorder.h"
#include "membership/Members.h"

#include <Poco/JSON/Object.h>

#include <atomic>
#include <memory>
#include <set>
#include <thread>
#include <variant>
#include <vector>

namespace baobabcove {

/// Runs in every entry and decides only in the one that holds the role. One
/// thread owns all decisions; it hears of the world by a ring of events and
/// acts by rings of orders, one for each acting thread, so that the orders of
/// one job stay in sequence.
class Coordinator {
public:
  Coordinator(const Settings &Of, const StateChart &JobChart, Store &Platform,
              RpcPeers &Peers, JobBook &Book, const Members &Known,
              ConfigurationKeeper &Keeper, Metrics &Figures);
  ~Coordinator();

  /// The role was taken (with its epoch) or lost (zero).
  void roleChanged(Epoch Held);
  /// A member announced itself.
  void memberHeard(const wire::Heartbeat &Beat);
  /// A job record has changed.
  void jobChanged(const StoredJob &Job);
  /// A configuration has come into force.
  void configurationChanged();

  /// State for the dump.
  Poco::JSON::Object::Ptr dump() const;

private:
  struct RoleEvent {
    Epoch Held;
  };
  struct BeatEvent {
    wire::Heartbeat Beat;
  };
  struct JobEvent {
    StoredJob Job;
  };
  struct ConfigurationEvent {};
  struct ListedEvent {
    Epoch For;
    std::vector<StoredJob> Jobs;
    std::set<std::string> Entries;
  };
  struct InventoriedEvent {
    Epoch For;
    wire::Heartbeat Beat;
    bool Accepted = false;
  };
  struct StartedEvent {
    StartOrder Order;
    StartOutcome Outcome;
  };
  struct RecordedEvent {
    JobId Job;
    Attempt Number;
  };
  using Event =
      std::variant<RoleEvent, BeatEvent, JobEvent, ConfigurationEvent,
                   ListedEvent, InventoriedEvent, StartedEvent, RecordedEvent>;
  using Action = std::function<void()>;

  /// A worker as this role sees it.
  struct WorkerView {
    std::uint64_t Incarnation = 0;
    bool Ready = false;
    bool Asked = false;
    bool Listed = false;
    Instant HeardAt;
    std::string Address;
  };

  enum class Stage { Idle, Listing, Settling, Deciding };

  void decideLoop();
  void actLoop(std::size_t Index);
  void post(Event Happened);
  void act(const std::string &Name, Action Work);

  void on(const RoleEvent &Happened);
  void on(const BeatEvent &Happened);
  void on(const JobEvent &Happened);
  void on(const ConfigurationEvent &Happened);
  void on(const ListedEvent &Happened);
  void on(const InventoriedEvent &Happened);
  void on(const StartedEvent &Happened);
  void on(const RecordedEvent &Happened);

  void listEverything();
  void askInventory(const wire::Heartbeat &Beat);
  void settleIfDone(Instant Now);
  void adoptJob(const StoredJob &Job);
  void applyGuarantees();
  void observeWorker(const wire::Heartbeat &Beat);
  void tellSchedulerOf(const wire::Heartbeat &Beat);
  void news(TrackedGang &Gang, GangNews What);
  void gangRuns(TrackedGang &Gang);
  void gangEnded(TrackedGang &Gang);
  void recordEnd(const TrackedGang &Gang);
  void stopStrays(const wire::Heartbeat &Beat);
  void decide(Instant Now);
  void carryOut(const StartGang &Start);
  void carryOut(const StopGang &Stop);
  void carryOut(const EndJob &End);
  void sendStop(TrackedGang &Gang, bool Checkpoint, Milliseconds Deadline);
  void judgeLosses(Instant Now);
  void releaseBrokenGangs(Instant Now);
  void resync();
  void removeOldJobs(Instant Now);
  void publish();
  StopOrder stopOrderOf(const TrackedGang &Gang) const;

  const Settings &Of;
  const JobLife Life;
  Store &Platform;
  JobBook &Book;
  const Members &Known;
  ConfigurationKeeper &Keeper;
  Metrics &Figures;
  Ring<Event> Events;
  std::atomic<bool> MissedEvents{false};
  std::vector<std::unique_ptr<Ring<Action>>> Orders;
  Recorder Records;
  GangActions Actions;

  // Owned by the deciding thread.
  Stage Now = Stage::Idle;
  Epoch Held;
  std::unique_ptr<Scheduler> Policy;
  GangTracker Gangs;
  LossJudge Losses;
  std::map<std::string, WorkerView> Workers;
  std::vector<StoredJob> ToAdopt;
  std::set<std::string> Scheduled;
  Instant StageSince;
  Instant LastDecision;
  Instant LastCleanup;

  mutable std::mutex DumpMutex;
  Poco::JSON::Object::Ptr Published;
  std::atomic<bool> Stopping{false};
  std::vector<std::thread> Actors;
  std::thread Decider;
};

} // namespace baobabcove

#endif // BAOBABCOVE_COORDINATOR_COORDINATOR_H
