#ifndef BAOBABCOVE_CLI_PRINTING_H
#define BAOBABCOVE_CLI_PRINTING_H

#include <iosfwd>
#include <string>
#include <vector>

#include <Poco/JSON/Object.h>

namespace baobabcove {

/// Rows of a table; the first row may hold the column titles.
using TableRows = std::vector<std::vector<std::string>>;

/// Parses a JSON object; returns null for any other text.
Poco::JSON::Object::Ptr parseObject(const std::string &Text);

/// Returns the text of the field \p Key, or "-" when it is missing. An object
/// is returned as JSON.
std::string fieldText(const Poco::JSON::Object::Ptr &Row,
                      const std::string &Key);

/// Returns the text of the field at a dotted path of keys, such as
/// "spec.workspace", or "-" when it is missing.
std::string nestedFieldText(Poco::JSON::Object::Ptr Row, std::string Key);

/// Prints \p Rows with aligned columns.
void printTable(std::ostream &Out, const TableRows &Rows);

} // namespace baobabcove

#endif // BAOBABCOVE_CLI_PRINTING_H
