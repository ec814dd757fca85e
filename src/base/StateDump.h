/// \file
/// The dump of a process's state, over HTTP and by signal to the log.

#ifndef BAOBABCOVE_BASE_STATEDUMP_H
#define BAOBABCOVE_BASE_STATEDUMP_H

#include <string>

#include <Poco/JSON/Object.h>

namespace baobabcove {

/// The JSON text of a dump.
std::string dumpText(const Poco::JSON::Object::Ptr &Dump);

/// A JSON object that keeps the order in which its keys were set.
Poco::JSON::Object::Ptr makeDump();

} // namespace baobabcove

#endif // BAOBABCOVE_BASE_STATEDUMP_H
