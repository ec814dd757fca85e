#ifndef BAOBABCOVE_BASE_PROCESSSTATS_H
#define BAOBABCOVE_BASE_PROCESSSTATS_H

#include <Poco/JSON/Object.h>

namespace baobabcove {

/// Returns the resource usage of this process for its state dump: CPU time in
/// milliseconds, resident memory in KiB and the number of threads.
Poco::JSON::Object::Ptr processStats();

} // namespace baobabcove

#endif // BAOBABCOVE_BASE_PROCESSSTATS_H
