/// \file
/// How baobabctl prints what entries answer.

#ifndef BAOBABCOVE_CLI_PRINTING_H
#define BAOBABCOVE_CLI_PRINTING_H

#include <iosfwd>
#include <string>
#include <vector>

#include <Poco/JSON/Object.h>

namespace baobabcove {

/// Rows of cells; the first row may be the titles.
using TableRows = std::vector<std::vector<std::string>>;

/// Reads a JSON object; null when the text is none.
Poco::JSON::Object::Ptr parseObject(const std::string &Text);

/// The printed value of a key, or "-" when it is missing.
std::string cell(const Poco::JSON::Object::Ptr &Row, const std::string &Key);

/// The printed value of a dotted key, such as "spec.workspace", which looks
/// into inner objects.
std::string column(Poco::JSON::Object::Ptr Row, std::string Key);

/// Prints rows with their columns aligned.
void printTable(std::ostream &Out, const TableRows &Rows);

} // namespace baobabcove

#endif // BAOBABCOVE_CLI_PRINTING_H
