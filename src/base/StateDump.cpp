#include "base/StateDump.h"

#include <sstream>

namespace baobabcove {

std::string dumpText(const Poco::JSON::Object::Ptr &Dump) {
  std::ostringstream Out;
  Dump->stringify(Out);
  return Out.str();
}

Poco::JSON::Object::Ptr makeDump() {
  return new Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER);
}

} // namespace baobabcove
