/// \file
/// What this process uses of the machine, for its state dump.

#ifndef BAOBABCOVE_BASE_PROCESSSTATS_H
#define BAOBABCOVE_BASE_PROCESSSTATS_H

#include <Poco/JSON/Object.h>

namespace baobabcove {

/// Processor time in milliseconds, resident memory in KiB and threads.
Poco::JSON::Object::Ptr processStats();

} // namespace baobabcove

#endif // BAOBABCOVE_BASE_PROCESSSTATS_H
