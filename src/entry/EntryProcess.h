/// \file
/// One entry instance: callers' and operators' HTTP interface, the routing of
/// requests, and the coordinator's role while it is held.

#ifndef BAOBABCOVE_ENTRY_ENTRYPROCESS_H
#define BAOBABCOVE_ENTRY_ENTRYPROCESS_H

#include "baobabcove/StateChart.h"
#include "coordinator/Coordinator.h"
#include "coordinator/RoleKeeper.h"
#include "entry/ConfigurationApi.h"
#include "entry/EntryContext.h"
#include "entry/JobApi.h"
#include "entry/RequestApi.h"
#include "membership/Announcer.h"

#include <atomic>
#include <memory>
#include <thread>

namespace baobabcove {

/// Ties the parts of an entry together.
class EntryProcess : public EntryHandler {
public:
  EntryProcess(const Settings &Of, StateCharts Charts);
  ~EntryProcess() override;

  /// Binds the addresses and begins to serve.
  Expected<void> start();

  /// Graceful shutdown: goes unready, finishes the requests under way, hands
  /// the coordinator's role over and takes leave of the other entries.
  void stop(Milliseconds Patience);

  std::string dump() const;
  std::string httpAddress() const { return Http->address(); }
  std::string rpcAddress() const { return Rpc->address(); }

  wire::HeartbeatReply beat(const wire::Heartbeat &Beat) override;

private:
  /// One path of the interface. A part "*" of the pattern is handed over.
  struct Route {
    const char *Method;
    const char *Pattern;
    HttpResponse (EntryProcess::*Handle)(const HttpRequest &,
                                         const std::string &Part);
  };
  static const std::vector<Route> &routes();

  HttpResponse onHttp(const HttpRequest &Request);
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
  HttpResponse takeTicket(const HttpRequest &Request,
                          const std::string &Service);
  HttpResponse submitJob(const HttpRequest &Request, const std::string &);
  HttpResponse listJobs(const HttpRequest &Request, const std::string &);
  HttpResponse showJob(const HttpRequest &Request, const std::string &Id);
  HttpResponse cancelJob(const HttpRequest &Request, const std::string &Id);
  HttpResponse showConfiguration(const HttpRequest &Request,
                                 const std::string &);
  HttpResponse applyConfiguration(const HttpRequest &Request,
                                  const std::string &);
  HttpResponse listWorkspaces(const HttpRequest &Request, const std::string &);

  wire::Heartbeat ownBeat() const;
  void onReply(const wire::HeartbeatReply &Reply, Instant SentAt);
  Milliseconds coordinatorAge(Instant Now) const;
  void housekeepingLoop();
  void watchConfiguration();
  bool registerEntry();
  std::string registryKey() const;
  std::string peerAddress() const;

  const Settings Of;
  const StateCharts Charts;
  const std::uint64_t Incarnation;
  Metrics Figures;
  std::unique_ptr<Store> Platform;
  std::unique_ptr<Store> WatchPlatform;
  ConfigurationKeeper Keeper;
  RpcPeers Peers;
  Members Known;
  KeyClaims Claims;
  Router Routes;
  JobBook Book;
  EntryContext Context;
  RequestApi Requests;
  JobApi Jobs;
  ConfigurationApi Configurations;
  std::unique_ptr<Coordinator> Coordinating;
  std::unique_ptr<RoleKeeper> Role;
  std::unique_ptr<RpcServer> Rpc;
  std::unique_ptr<HttpServer> Http;
  std::unique_ptr<Announcer> Announcing;
  std::atomic<bool> Draining{false};
  std::atomic<bool> Leaving{false};
  std::atomic<bool> Registered{false};
  std::atomic<bool> ConfigurationRead{false};
  std::atomic<bool> Stopping{false};
  /// When the coordinator's entry last answered, less the age of its role.
  std::atomic<Instant> CoordinatorSeenAt{Instant()};
  std::atomic<std::uint64_t> HighestEpoch{0};
  std::thread Housekeeping;
  std::thread ConfigurationWatch;
};

} // namespace baobabcove

#endif // BAOBABCOVE_ENTRY_ENTRYPROCESS_H
