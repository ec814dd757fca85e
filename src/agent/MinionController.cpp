#include "agent/MinionController.h"

#include "base/Log.h"
#include "base/Text.h"

#include <algorithm>

namespace baobabcove {

namespace {

constexpr std::size_t MaxOutcomeBytes = 32 << 20;
constexpr Milliseconds HealthPeriod{300};
constexpr Milliseconds HealthTimeout{1000};
constexpr int HttpUnavailable = 503;
constexpr int HttpOk = 200;

} // namespace

MinionController::MinionController(const Settings &Options,
                                   const StateCharts &Charts,
                                   std::uint64_t Incarnation, Metrics &Stats)
    : Slots(Options.Slots), Service(Options.Service), Incarnation(Incarnation),
      Stats(Stats), Minion(Options.TargetAddress),
      Health(Options.TargetAddress),
      Outcomes(Options.MaxOutcomes, MaxOutcomeBytes),
      Lifecycle(Charts.Minion, Stats), HealthThread([this] { healthLoop(); }) {}

MinionController::~MinionController() {
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Stopping = true;
  }
  StateChanged.notify_all();
  HealthThread.join();
}

Expected<void> MinionController::checkPin(const wire::ExecuteRequest &Request,
                                          Instant Now) const {
  if (Request.pinned_incarnation() == 0)
    return {};
  if (Request.pinned_incarnation() != Incarnation)
    return failure(ResultCode::PinExpired,
                   "The agent that may have run the request has restarted.");
  if (Request.pinned_period() + OutcomeTable::KeptPeriods <
      Outcomes.period(Now))
    return failure(ResultCode::PinExpired,
                   "The key is too old; the outcome is no longer stored.");
  return {};
}

bool MinionController::tryAcquireSlot() {
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (InFlight >= Slots)
    return false;
  ++InFlight;
  return true;
}

void MinionController::releaseSlot() {
  const std::lock_guard<std::mutex> Lock(Mutex);
  --InFlight;
  StateChanged.notify_all();
}

wire::ExecuteReply
MinionController::execute(const wire::ExecuteRequest &Request) {
  const Instant Now = monotonicNow();
  const Instant Deadline = Now + Milliseconds(Request.deadline_ms());
  wire::ExecuteReply Reply;
  if (auto Valid = checkPin(Request, Now); !Valid) {
    Reply = executeRefusal(Valid.error().Code, Valid.error().Detail);
  } else {
    const std::string Digest =
        sha256Hex(Request.service() + '\n' + Request.body());
    const auto Result = Outcomes.begin(Request, Digest, Deadline, Now, Reply);
    if (Result == OutcomeTable::Admission::Run) {
      Reply = runOnMinion(Request, Deadline);
      const auto Code = static_cast<ResultCode>(Reply.code());
      // A request that did not run may be delivered again. Any other outcome
      // is stored.
      if (resultInfo(Code).RunOutcome == Outcome::NotRun)
        Outcomes.abandon(Request);
      else
        Outcomes.finish(Request, Reply, monotonicNow());
    }
  }
  const wire::MinionStatus CurrentStatus = status();
  Reply.set_in_flight(CurrentStatus.in_flight());
  Reply.set_slots(CurrentStatus.slots());
  return Reply;
}

wire::ExecuteReply
MinionController::runOnMinion(const wire::ExecuteRequest &Request,
                              Instant Deadline) {
  if (draining())
    return executeRefusal(ResultCode::Draining,
                          "The minion is in graceful shutdown.");
  if (!tryAcquireSlot())
    return executeRefusal(ResultCode::Overloaded, "Every slot is in use.");
  HttpCall Call;
  Call.Path = "/run";
  Call.Body = Request.body();
  Call.ContentType = Request.content_type();
  Call.Headers["X-Request-Id"] = Request.request_id();
  Call.Headers["X-Workspace"] = Request.workspace();
  Call.NewConnection = !Request.idempotent();
  Call.Timeout = std::max(Deadline - monotonicNow(), Milliseconds(1));
  const Instant StartedAt = monotonicNow();
  auto Answer = Minion.call(Call);
  Stats.sample("minion_ms",
               static_cast<double>((monotonicNow() - StartedAt).count()));
  releaseSlot();
  if (!Answer) {
    if (Answer.error().Code == ResultCode::PeerUnreachable)
      return executeRefusal(ResultCode::NoMinion, Answer.error().Detail);
    const bool Late = monotonicNow() >= Deadline;
    return executeRefusal(Late ? ResultCode::DeadlineAfterStart
                               : ResultCode::MinionFailed,
                          Answer.error().Detail);
  }
  // The minion protocol defines 503 as "the work was not started".
  if (Answer->Status == HttpUnavailable)
    return executeRefusal(
        ResultCode::Overloaded,
        "The minion answered 503 and did not run the request.");
  wire::ExecuteReply Reply;
  Reply.set_code(static_cast<std::uint32_t>(ResultCode::Ok));
  Reply.set_http_status(static_cast<std::uint32_t>(Answer->Status));
  Reply.set_body(Answer->Body);
  Reply.set_content_type(Answer->ContentType);
  return Reply;
}

void MinionController::setDraining(bool Draining) {
  Lifecycle.applyEvent(Draining ? "drain" : "resume");
}

bool MinionController::draining() const { return !Lifecycle.is("serving"); }

wire::MinionStatus MinionController::status() const {
  wire::MinionStatus Status;
  Status.set_service(Service);
  Status.set_slots(Slots);
  Status.set_outcome_period(Outcomes.period(monotonicNow()));
  const std::lock_guard<std::mutex> Lock(Mutex);
  Status.set_in_flight(InFlight);
  return Status;
}

bool MinionController::waitIdle(Milliseconds Timeout) {
  std::unique_lock<std::mutex> Lock(Mutex);
  return StateChanged.wait_for(Lock, Timeout, [&] { return InFlight == 0; });
}

bool MinionController::isMinionHealthy() {
  HttpCall Call;
  Call.Method = "GET";
  Call.Path = "/health";
  Call.Timeout = HealthTimeout;
  const auto Answer = Health.call(Call);
  return Answer && Answer->Status == HttpOk;
}

void MinionController::healthLoop() {
  std::unique_lock<std::mutex> Lock(Mutex);
  while (!Stopping) {
    Lock.unlock();
    const bool Healthy = isMinionHealthy();
    if (Lifecycle.applyEvent(Healthy ? "accept" : "refuse"))
      LOG4CPLUS_INFO(logOf("minion"),
                     "The minion is " << Lifecycle.state() << ".");
    Lock.lock();
    StateChanged.wait_for(Lock, HealthPeriod, [&] { return Stopping; });
  }
}

} // namespace baobabcove
