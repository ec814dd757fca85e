#include "http/HttpMessage.h"

#include <sstream>

#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPResponse.h>

namespace baobabcove {

std::string HttpRequest::header(const std::string &Name) const {
  const auto Found = Headers.find(Name);
  return Found == Headers.end() ? std::string() : Found->second;
}

std::optional<std::string> HttpRequest::authorization() const {
  const auto Found = Headers.find("authorization");
  if (Found == Headers.end())
    return std::nullopt;
  return Found->second;
}

std::string HttpRequest::query(const std::string &Name) const {
  const auto Found = Query.find(Name);
  return Found == Query.end() ? std::string() : Found->second;
}

HttpResponse errorResponse(ResultCode Code, const std::string &Detail) {
  const ResultInfo &Info = resultInfo(Code);
  Poco::JSON::Object Body(Poco::JSON_PRESERVE_KEY_ORDER);
  Body.set("code", static_cast<std::uint32_t>(Code));
  Body.set("name", std::string(Info.Name));
  Body.set("outcome", std::string(outcomeName(Info.RunOutcome)));
  Body.set("detail", Detail);
  Body.set("next_step", std::string(Info.NextStep));
  std::ostringstream Out;
  Body.stringify(Out);
  HttpResponse Response;
  Response.Status = Info.HttpStatus == 200 ? 500 : Info.HttpStatus;
  Response.Body = Out.str();
  Response.Headers["X-Outcome"] = std::string(outcomeName(Info.RunOutcome));
  if (Response.Status == 503 || Response.Status == 429)
    Response.Headers["Retry-After"] = "1";
  return Response;
}

HttpResponse errorResponse(const Error &Err) {
  return errorResponse(Err.Code, Err.Detail);
}

std::string formatHeader(const HttpResponse &Response,
                         const std::string &Version, bool KeepAlive) {
  const auto Status =
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(Response.Status);
  Poco::Net::HTTPResponse Header(
      Version, Status, Poco::Net::HTTPResponse::getReasonForStatus(Status));
  Header.setContentType(Response.ContentType);
  Header.setContentLength64(static_cast<Poco::Int64>(Response.Body.size()));
  Header.setKeepAlive(KeepAlive);
  for (const auto &[Name, Value] : Response.Headers)
    Header.set(Name, Value);
  std::ostringstream Out;
  Header.write(Out);
  return Out.str();
}

} // namespace baobabcove
