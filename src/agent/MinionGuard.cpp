#include "agent/MinionGuard.h"

#include "base/Log.h"
#include "base/Text.h"

#include <algorithm>

namespace baobabcove {

namespace {

constexpr std::size_t MaxOutcomeBytes = 32 << 20;
constexpr Milliseconds HealthPeriod{300};
constexpr Milliseconds HealthPatience{1000};
constexpr int HttpUnavailable = 503;
constexpr int HttpOk = 200;

} // namespace

MinionGuard::MinionGuard(const Settings &Of, const StateCharts &Charts,
                         std::uint64_t Incarnation, Metrics &Figures)
    : Slots(Of.Slots), Service(Of.Service), Incarnation(Incarnation),
      Figures(Figures), Minion(Of.TargetAddress), Health(Of.TargetAddress),
      Outcomes(Of.MaxOutcomes, MaxOutcomeBytes), Life(Charts.Minion, Figures),
      HealthThread([this] { watchHealth(); }) {}

MinionGuard::~MinionGuard() {
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Stopping = true;
  }
  Changed.notify_all();
  HealthThread.join();
}

Expected<void> MinionGuard::checkPin(const wire::ExecuteRequest &Request,
                                     Instant Now) const {
  if (Request.pinned_incarnation() == 0)
    return {};
  if (Request.pinned_incarnation() != Incarnation)
    return failure(ResultCode::PinExpired,
                   "The agent that may have run it has been replaced.");
  if (Request.pinned_period() + OutcomeTable::KeptPeriods <
      Outcomes.period(Now))
    return failure(ResultCode::PinExpired,
                   "The outcome is no longer kept; the key is too old.");
  return {};
}

bool MinionGuard::takeSlot() {
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (InFlight >= Slots)
    return false;
  ++InFlight;
  return true;
}

void MinionGuard::freeSlot() {
  const std::lock_guard<std::mutex> Lock(Mutex);
  --InFlight;
  Changed.notify_all();
}

wire::ExecuteReply MinionGuard::execute(const wire::ExecuteRequest &Request) {
  const Instant Now = monotonicNow();
  const Instant Deadline = Now + Milliseconds(Request.deadline_ms());
  wire::ExecuteReply Reply;
  if (auto Valid = checkPin(Request, Now); !Valid) {
    Reply = executeRefusal(Valid.error().Code, Valid.error().Detail);
  } else {
    const std::string Digest =
        sha256Hex(Request.service() + '\n' + Request.body());
    const auto Claim = Outcomes.begin(Request, Digest, Deadline, Now, Reply);
    if (Claim == OutcomeTable::Claim::Run) {
      Reply = runOnMinion(Request, Deadline);
      const auto Code = static_cast<ResultCode>(Reply.code());
      // What has not run may be delivered again; all else is kept.
      if (resultInfo(Code).Ran == Outcome::NotRun)
        Outcomes.abandon(Request);
      else
        Outcomes.finish(Request, Reply, monotonicNow());
    }
  }
  const wire::MinionStatus Present = status();
  Reply.set_in_flight(Present.in_flight());
  Reply.set_slots(Present.slots());
  return Reply;
}

wire::ExecuteReply MinionGuard::runOnMinion(const wire::ExecuteRequest &Request,
                                            Instant Deadline) {
  if (draining())
    return executeRefusal(ResultCode::Draining,
                          "The minion is in graceful shutdown.");
  if (!takeSlot())
    return executeRefusal(ResultCode::Overloaded, "Every slot is in use.");
  HttpCall Call;
  Call.Path = "/run";
  Call.Body = Request.body();
  Call.ContentType = Request.content_type();
  Call.Headers["X-Request-Id"] = Request.request_id();
  Call.Headers["X-Workspace"] = Request.workspace();
  Call.OwnConnection = !Request.idempotent();
  Call.Patience = std::max(Deadline - monotonicNow(), Milliseconds(1));
  const Instant Began = monotonicNow();
  auto Answer = Minion.call(Call);
  Figures.sample("minion_ms",
                 static_cast<double>((monotonicNow() - Began).count()));
  freeSlot();
  if (!Answer) {
    if (Answer.error().Code == ResultCode::PeerUnreachable)
      return executeRefusal(ResultCode::NoMinion, Answer.error().Detail);
    const bool Late = monotonicNow() >= Deadline;
    return executeRefusal(Late ? ResultCode::DeadlineAfterStart
                               : ResultCode::MinionFailed,
                          Answer.error().Detail);
  }
  // By the contract with minions, 503 says that the work was not begun.
  if (Answer->Status == HttpUnavailable)
    return executeRefusal(ResultCode::Overloaded,
                          "The minion refused the request.");
  wire::ExecuteReply Reply;
  Reply.set_code(static_cast<std::uint32_t>(ResultCode::Ok));
  Reply.set_http_status(static_cast<std::uint32_t>(Answer->Status));
  Reply.set_body(Answer->Body);
  Reply.set_content_type(Answer->ContentType);
  return Reply;
}

void MinionGuard::setDraining(bool Draining) {
  Life.take(Draining ? "drain" : "resume");
}

bool MinionGuard::draining() const { return !Life.is("serving"); }

wire::MinionStatus MinionGuard::status() const {
  wire::MinionStatus Status;
  Status.set_service(Service);
  Status.set_slots(Slots);
  Status.set_outcome_period(Outcomes.period(monotonicNow()));
  const std::lock_guard<std::mutex> Lock(Mutex);
  Status.set_in_flight(InFlight);
  return Status;
}

bool MinionGuard::waitIdle(Milliseconds Patience) {
  std::unique_lock<std::mutex> Lock(Mutex);
  return Changed.wait_for(Lock, Patience, [&] { return InFlight == 0; });
}

bool MinionGuard::minionAcceptsWork() {
  HttpCall Call;
  Call.Method = "GET";
  Call.Path = "/health";
  Call.Patience = HealthPatience;
  const auto Answer = Health.call(Call);
  return Answer && Answer->Status == HttpOk;
}

void MinionGuard::watchHealth() {
  std::unique_lock<std::mutex> Lock(Mutex);
  while (!Stopping) {
    Lock.unlock();
    const bool Accepts = minionAcceptsWork();
    if (Life.take(Accepts ? "accept" : "refuse"))
      LOG4CPLUS_INFO(logOf("minion"), "The minion is " << Life.state() << ".");
    Lock.lock();
    Changed.wait_for(Lock, HealthPeriod, [&] { return Stopping; });
  }
}

} // namespace baobabcove
