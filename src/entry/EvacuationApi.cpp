#include "entry/EvacuationApi.h"

#include "base/StateDump.h"

#include <algorithm>
#include <cctype>
#include <map>

#include <Poco/JSON/Array.h>

namespace baobabcove {

namespace {

constexpr std::size_t MaxNameLength = 64;
/// Attempts to remove a key that another operator changes meanwhile.
constexpr int RemoveAttempts = 3;

bool isName(const std::string &Text) {
  return !Text.empty() && Text.size() <= MaxNameLength &&
         std::all_of(Text.begin(), Text.end(), [](unsigned char C) {
           return std::isalnum(C) != 0 || C == '-' || C == '_' || C == '.';
         });
}

Poco::JSON::Object::Ptr rowOf(const std::string &Name, std::int64_t Revision) {
  auto Row = makeDump();
  Row->set("data_centre", Name);
  Row->set("evacuated", Revision != 0);
  Row->set("revision", Revision);
  return Row;
}

HttpResponse answer(const Poco::JSON::Object::Ptr &Body) {
  HttpResponse Response;
  Response.Body = dumpText(Body);
  return Response;
}

} // namespace

Expected<void> EvacuationApi::check(const HttpRequest &Request,
                                    const std::string &Name) const {
  const auto Sender =
      authenticateOperator(Request, *Context.ActiveConfig.current());
  if (!Sender)
    return tl::unexpected<Error>(Sender.error());
  if (!isName(Name))
    return failure(ResultCode::MalformedRequest,
                   "The name of a data centre has 1 to 64 letters, digits, "
                   "hyphens, underscores and full stops.");
  return {};
}

std::string EvacuationApi::keyOf(const std::string &Name) const {
  return evacuationKey(Context.Options.Cell, DataCentreName(Name));
}

HttpResponse EvacuationApi::evacuate(const HttpRequest &Request,
                                     const std::string &Name) {
  if (const auto Checked = check(Request, Name); !Checked)
    return errorResponse(Checked.error());
  const auto Written = Context.StoreClient.swap(keyOf(Name), 0, "{}", 0);
  if (Written)
    return answer(rowOf(Name, *Written));
  if (Written.error().Code != ResultCode::CompareFailed)
    return errorResponse(Written.error());
  return show(Request, Name);
}

HttpResponse EvacuationApi::restore(const HttpRequest &Request,
                                    const std::string &Name) {
  if (const auto Checked = check(Request, Name); !Checked)
    return errorResponse(Checked.error());
  Expected<void> Removed;
  for (int Attempt = 0; Attempt < RemoveAttempts; ++Attempt) {
    const auto Stored = Context.StoreClient.read(keyOf(Name));
    if (!Stored)
      return errorResponse(Stored.error());
    if (Stored->Revision == 0)
      return answer(rowOf(Name, 0));
    Removed = Context.StoreClient.remove(keyOf(Name), Stored->Revision);
    if (Removed)
      return answer(rowOf(Name, 0));
    if (Removed.error().Code != ResultCode::CompareFailed)
      break;
  }
  return errorResponse(Removed.error());
}

HttpResponse EvacuationApi::show(const HttpRequest &Request,
                                 const std::string &Name) {
  if (const auto Checked = check(Request, Name); !Checked)
    return errorResponse(Checked.error());
  const auto Stored = Context.StoreClient.read(keyOf(Name));
  if (!Stored)
    return errorResponse(Stored.error());
  return answer(rowOf(Name, Stored->Revision));
}

HttpResponse EvacuationApi::list(const HttpRequest &Request) {
  const auto Sender =
      authenticateOperator(Request, *Context.ActiveConfig.current());
  if (!Sender)
    return errorResponse(Sender.error());
  std::map<std::string, std::int64_t> Revisions;
  for (const auto &Each : Context.Membership.all())
    if (!Each.LastHeartbeat.location().data_centre().empty())
      Revisions[Each.LastHeartbeat.location().data_centre()] = 0;
  for (const auto &[Name, Revision] : Evacuations.active())
    Revisions[Name.str()] = Revision;
  Poco::JSON::Array::Ptr Rows = new Poco::JSON::Array;
  for (const auto &[Name, Revision] : Revisions)
    Rows->add(rowOf(Name, Revision));
  auto Body = makeDump();
  Body->set("data_centres", Rows);
  return answer(Body);
}

} // namespace baobabcove
