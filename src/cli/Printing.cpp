#include "cli/Printing.h"

#include <algorithm>
#include <ostream>
#include <sstream>

#include <Poco/JSON/Parser.h>

namespace baobabcove {

Poco::JSON::Object::Ptr parseObject(const std::string &Text) {
  try {
    Poco::JSON::Parser Parser;
    return Parser.parse(Text).extract<Poco::JSON::Object::Ptr>();
  } catch (const Poco::Exception &) {
    return nullptr;
  }
}

std::string fieldText(const Poco::JSON::Object::Ptr &Row,
                      const std::string &Key) {
  if (!Row->has(Key))
    return "-";
  const Poco::Dynamic::Var Value = Row->get(Key);
  if (Value.type() == typeid(Poco::JSON::Object::Ptr)) {
    std::ostringstream Text;
    Value.extract<Poco::JSON::Object::Ptr>()->stringify(Text);
    return Text.str();
  }
  return Value.convert<std::string>();
}

std::string nestedFieldText(Poco::JSON::Object::Ptr Row, std::string Key) {
  for (std::size_t Dot = Key.find('.'); Dot != std::string::npos;
       Dot = Key.find('.')) {
    Row = Row->getObject(Key.substr(0, Dot));
    if (!Row)
      return "-";
    Key = Key.substr(Dot + 1);
  }
  return fieldText(Row, Key);
}

void printTable(std::ostream &Out, const TableRows &Rows) {
  std::vector<std::size_t> Widths;
  for (const auto &Row : Rows) {
    Widths.resize(std::max(Widths.size(), Row.size()));
    for (std::size_t I = 0; I < Row.size(); ++I)
      Widths[I] = std::max(Widths[I], Row[I].size());
  }
  for (const auto &Row : Rows) {
    for (std::size_t I = 0; I < Row.size(); ++I) {
      const bool Last = I + 1 == Row.size();
      Out << Row[I]
          << (Last ? "\n" : std::string(Widths[I] - Row[I].size() + 2, ' '));
    }
  }
}

} // namespace baobabcove
