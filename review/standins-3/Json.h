#ifndef BAOBABCOVE_REVIEW_STANDINS_3_JSON_H
#define BAOBABCOVE_REVIEW_STANDINS_3_JSON_H

#include "http/HttpMessage.h"

#include <string>

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

namespace baobabcove::review {

using Object = Poco::JSON::Object::Ptr;
using Array = Poco::JSON::Array::Ptr;

/// Thrown by a handler that leaves a call unanswered.
struct Unanswered : std::exception {};

/// Returns an empty object for a text that is not one.
Object parse(const std::string &Text);
std::string textOf(const Object &Body);
HttpResponse respond(const Object &Body, int Status = 200);

} // namespace baobabcove::review

#endif // BAOBABCOVE_REVIEW_STANDINS_3_JSON_H
