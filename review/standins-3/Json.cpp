#include "Json.h"

#include <sstream>

#include <Poco/JSON/Parser.h>

namespace baobabcove::review {

Object parse(const std::string &Text) {
  try {
    const Poco::Dynamic::Var Parsed = Poco::JSON::Parser().parse(Text);
    if (Parsed.type() == typeid(Object))
      return Parsed.extract<Object>();
  } catch (const std::exception &) {
    return new Poco::JSON::Object;
  }
  return new Poco::JSON::Object;
}

std::string textOf(const Object &Body) {
  std::ostringstream Out;
  Body->stringify(Out);
  return Out.str();
}

HttpResponse respond(const Object &Body, int Status) {
  HttpResponse Response;
  Response.Status = Status;
  Response.Body = textOf(Body);
  return Response;
}

} // namespace baobabcove::review
