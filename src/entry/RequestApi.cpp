#include "entry/RequestApi.h"

#include "base/StateDump.h"
#include "base/Text.h"

#include <charconv>

namespace baobabcove {

namespace {

constexpr std::uint32_t MaxDeadlineMs = 600000;
constexpr std::size_t MaxKeyBytes = 200;

bool isValidKey(const std::string &Key) {
  return Key.size() <= MaxKeyBytes &&
         std::all_of(Key.begin(), Key.end(),
                     [](unsigned char C) { return C > ' ' && C < 127; });
}

Expected<std::uint32_t> readDeadline(const std::string &Text,
                                     std::uint32_t Default) {
  if (Text.empty())
    return Default;
  std::uint32_t Value = 0;
  const char *End = Text.data() + Text.size();
  const auto Read = std::from_chars(Text.data(), End, Value);
  if (Read.ec != std::errc() || Read.ptr != End || Value == 0 ||
      Value > MaxDeadlineMs)
    return failure(ResultCode::MalformedRequest,
                   "X-Deadline-Ms must be a whole number from 1 to " +
                       std::to_string(MaxDeadlineMs) + ".");
  return Value;
}

Expected<bool> readFlag(const std::string &Text, bool Default) {
  if (Text.empty())
    return Default;
  if (Text == "true" || Text == "false")
    return Text == "true";
  return failure(ResultCode::MalformedRequest,
                 "X-Idempotent must be true or false.");
}

} // namespace

Expected<void>
RequestApi::checkRequestLimit(const std::string &Workspace) const {
  const auto CurrentConfig = Context.ActiveConfig.current();
  const auto Found = CurrentConfig->Workspaces.find(Workspace);
  if (Found == CurrentConfig->Workspaces.end())
    return failure(ResultCode::UnknownWorkspace,
                   "There is no workspace " + Workspace + ".");
  // The limit applies to the whole deployment; each entry enforces an equal
  // share of it.
  const std::size_t Entries =
      1 + Context.Membership
              .alive(wire::ENTRY, Milliseconds(Context.Options.MinionSilenceMs),
                     monotonicNow())
              .size();
  const std::size_t Share = std::max<std::size_t>(
      1, (Found->second.MaxRequests + Entries - 1) / Entries);
  if (Context.RequestRouter.pool().inFlight(Workspace) >= Share)
    return failure(ResultCode::WorkspaceLimit,
                   "The workspace has reached its limit of " +
                       std::to_string(Share) +
                       " requests in flight at this entry.");
  return {};
}

Expected<RouteRequest> RequestApi::parseRequest(const HttpRequest &Request,
                                                const std::string &Service,
                                                const Identity &Sender) {
  if (Sender.Workspace.empty())
    return failure(ResultCode::WrongWorkspace,
                   "Sending a request requires a workspace token.");
  const auto CurrentConfig = Context.ActiveConfig.current();
  const auto Found = CurrentConfig->Services.find(Service);
  if (Found == CurrentConfig->Services.end())
    return failure(ResultCode::UnknownService,
                   "There is no service " + Service + ".");
  const auto Deadline =
      readDeadline(Request.header("x-deadline-ms"), Found->second.DeadlineMs);
  if (!Deadline)
    return tl::unexpected<Error>(Deadline.error());
  const auto Idempotent =
      readFlag(Request.header("x-idempotent"), Found->second.Idempotent);
  if (!Idempotent)
    return tl::unexpected<Error>(Idempotent.error());
  const std::string Key = Request.header("idempotency-key");
  if (!isValidKey(Key))
    return failure(ResultCode::MalformedRequest,
                   "Idempotency-Key must be at most " +
                       std::to_string(MaxKeyBytes) +
                       " printable characters without spaces.");
  RouteRequest Result;
  Result.Deadline = monotonicNow() + Milliseconds(*Deadline);
  Result.Keyed = !Key.empty();
  Result.Message.set_workspace(Sender.Workspace);
  // The caller's X-Request-Id is only echoed and never used as the id: two
  // callers may send the same value.
  Result.Message.set_request_id(
      Result.Keyed ? Key
                   : "r~" + Context.Options.Node + "~" +
                         std::to_string(Context.Incarnation) + "~" +
                         std::to_string(NextRequestNumber++));
  Result.Message.set_service(Service);
  Result.Message.set_body(Request.Body);
  Result.Message.set_idempotent(*Idempotent);
  Result.Message.set_content_type(Request.header("content-type"));
  return Result;
}

HttpResponse RequestApi::send(const HttpRequest &Request,
                              const std::string &Service) {
  const auto Sender = authenticate(Request, *Context.ActiveConfig.current());
  if (!Sender)
    return errorResponse(Sender.error());
  const auto Read = parseRequest(Request, Service, *Sender);
  if (!Read)
    return errorResponse(Read.error());
  if (auto Allowed = checkRequestLimit(Sender->Workspace); !Allowed)
    return errorResponse(Allowed.error());
  const Instant StartedAt = monotonicNow();
  const wire::ExecuteReply Reply = Context.RequestRouter.route(*Read);
  Context.Stats.count("requests");
  Context.Stats.sample(
      "request_ms", static_cast<double>((monotonicNow() - StartedAt).count()));
  return toResponse(Reply, Request.header("x-request-id"));
}

HttpResponse RequestApi::toResponse(const wire::ExecuteReply &Reply,
                                    const std::string &RequestId) const {
  const auto Code = static_cast<ResultCode>(Reply.code());
  Context.Stats.count("outcome_" +
                      std::string(outcomeName(resultInfo(Code).RunOutcome)));
  HttpResponse Response;
  if (Code == ResultCode::Ok) {
    Response.Status = static_cast<int>(Reply.http_status());
    Response.Body = Reply.body();
    Response.ContentType = Reply.content_type();
    Response.Headers["X-Outcome"] = "answered";
  } else {
    Response = errorResponse(Code, Reply.detail());
  }
  if (!RequestId.empty())
    Response.Headers["X-Request-Id"] = RequestId;
  return Response;
}

HttpResponse RequestApi::ticket(const HttpRequest &Request,
                                const std::string &Service) {
  const auto Sender = authenticate(Request, *Context.ActiveConfig.current());
  if (!Sender)
    return errorResponse(Sender.error());
  if (Context.ActiveConfig.current()->Services.count(Service) == 0)
    return errorResponse(ResultCode::UnknownService,
                         "There is no service " + Service + ".");
  SlotRequest Wanted{
      Service, Sender->Workspace, {}, monotonicNow() + Milliseconds(1000)};
  const auto Agent = Context.RequestRouter.pool().acquire(Wanted);
  if (!Agent)
    return errorResponse(Agent.error());
  Context.RequestRouter.pool().release(
      Agent->LastHeartbeat.node(), Sender->Workspace, DeliveryResult::Refused,
      Milliseconds(0), -1);
  auto Body = makeDump();
  Body->set("ticket", ClaimStore::makeTicket(*Agent));
  HttpResponse Response;
  Response.Body = dumpText(Body);
  return Response;
}

} // namespace baobabcove
