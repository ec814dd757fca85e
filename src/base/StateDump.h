#ifndef BAOBABCOVE_BASE_STATEDUMP_H
#define BAOBABCOVE_BASE_STATEDUMP_H

#include <string>

#include <Poco/JSON/Object.h>

namespace baobabcove {

/// Serializes a state dump, which is served over HTTP and logged on SIGUSR1.
std::string dumpText(const Poco::JSON::Object::Ptr &Dump);

/// Returns an empty JSON object that keeps its keys in insertion order.
Poco::JSON::Object::Ptr makeDump();

} // namespace baobabcove

#endif // BAOBABCOVE_BASE_STATEDUMP_H
