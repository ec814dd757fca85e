#ifndef BAOBABCOVE_ENTRY_ENTRYPROCESS_H
#define BAOBABCOVE_ENTRY_ENTRYPROCESS_H

#include "baobabcove/StateChart.h"
#include "coordinator/Coordinator.h"
#include "coordinator/CoordinatorElection.h"
#include "entry/ConfigurationApi.h"
#include "entry/EntryContext.h"
#include "entry/EvacuationApi.h"
#include "entry/EvacuationFollower.h"
#include "entry/JobApi.h"
#include "entry/RequestApi.h"
#include "membership/HeartbeatSender.h"

#include <atomic>
#include <memory>
#include <thread>

namespace baobabcove {

/// An entry instance: serves the HTTP interface of callers and operators,
/// routes requests to minions and runs the coordinator while it holds the role.
class EntryProcess : public EntryHandler {
public:
  EntryProcess(const Settings &Options, StateCharts Charts);
  ~EntryProcess() override;

  /// Binds the addresses and starts serving. Fails when an address cannot be
  /// bound.
  Expected<void> start();

  /// Shuts down gracefully: reports not ready, waits at most \p Timeout for the
  /// requests in flight, resigns from the coordinator's role and sends the
  /// other entries a final heartbeat.
  void stop(Milliseconds Timeout);

  std::string dump() const;
  std::string httpAddress() const { return Http->address(); }
  std::string rpcAddress() const { return Rpc->address(); }

  wire::HeartbeatReply heartbeat(const wire::Heartbeat &Message) override;

private:
  /// A path of the HTTP interface. The segment that "*" matches is passed to
  /// the handler.
  struct Route {
    const char *Method;
    const char *Pattern;
    HttpResponse (EntryProcess::*Handle)(const HttpRequest &,
                                         const std::string &Segment);
  };
  static const std::vector<Route> &routes();

  HttpResponse handleHttp(const HttpRequest &Request);
  HttpResponse health(const HttpRequest &Request, const std::string &);
  HttpResponse state(const HttpRequest &Request, const std::string &);
  HttpResponse members(const HttpRequest &Request, const std::string &);
  HttpResponse drainMember(const HttpRequest &Request, const std::string &Node);
  HttpResponse undrainMember(const HttpRequest &Request,
                             const std::string &Node);
  HttpResponse setMemberDraining(const HttpRequest &Request,
                                 const std::string &Node, bool Draining);
  HttpResponse sendRequest(const HttpRequest &Request,
                           const std::string &Service);
  HttpResponse issueTicket(const HttpRequest &Request,
                           const std::string &Service);
  HttpResponse submitJob(const HttpRequest &Request, const std::string &);
  HttpResponse listJobs(const HttpRequest &Request, const std::string &);
  HttpResponse showJob(const HttpRequest &Request, const std::string &Id);
  HttpResponse cancelJob(const HttpRequest &Request, const std::string &Id);
  HttpResponse showConfiguration(const HttpRequest &Request,
                                 const std::string &);
  HttpResponse applyConfiguration(const HttpRequest &Request,
                                  const std::string &);
  HttpResponse evacuate(const HttpRequest &Request, const std::string &Name);
  HttpResponse restore(const HttpRequest &Request, const std::string &Name);
  HttpResponse showEvacuation(const HttpRequest &Request,
                              const std::string &Name);
  HttpResponse listDataCentres(const HttpRequest &Request, const std::string &);
  HttpResponse listWorkspaces(const HttpRequest &Request, const std::string &);

  wire::Heartbeat buildHeartbeat() const;
  void onHeartbeatReply(const wire::HeartbeatReply &Reply, Instant SentAt);
  Milliseconds coordinatorContactAge(Instant Now) const;
  void housekeepingLoop();
  void watchConfiguration();
  bool registerEntry();
  std::string entryKey() const;
  std::string advertisedAddress() const;

  const Settings Options;
  const StateCharts Charts;
  const std::uint64_t Incarnation;
  Metrics Stats;
  std::unique_ptr<Store> StoreClient;
  std::unique_ptr<Store> WatchStoreClient;
  std::unique_ptr<Store> EvacuationStoreClient;
  EvacuationFollower Evacuated;
  ActiveConfiguration ActiveConfig;
  RpcPeers Peers;
  MemberTable Membership;
  ClaimStore Claims;
  Router RequestRouter;
  JobStore JobRecords;
  EntryContext Context;
  RequestApi Requests;
  JobApi Jobs;
  ConfigurationApi Configurations;
  EvacuationApi Evacuations;
  std::unique_ptr<Coordinator> CellCoordinator;
  std::unique_ptr<CoordinatorElection> Role;
  std::unique_ptr<RpcServer> Rpc;
  std::unique_ptr<HttpServer> Http;
  std::unique_ptr<HeartbeatSender> Heartbeats;
  std::atomic<bool> Draining{false};
  std::atomic<bool> Leaving{false};
  std::atomic<bool> Registered{false};
  std::atomic<bool> ConfigurationRead{false};
  std::atomic<bool> Stopping{false};
  /// Latest time at which the coordinator is known to have held its role: when
  /// the answered heartbeat was sent, less the age in the reply.
  std::atomic<Instant> CoordinatorContactAt{Instant()};
  std::atomic<std::uint64_t> HighestEpoch{0};
  std::thread HousekeepingThread;
  std::thread ConfigurationWatchThread;
};

} // namespace baobabcove

#endif // BAOBABCOVE_ENTRY_ENTRYPROCESS_H
