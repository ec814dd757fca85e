/// \file
/// Log messages with named values: "what happened key=value key=value".

#ifndef BAOBABCOVE_BASE_LOGFIELDS_H
#define BAOBABCOVE_BASE_LOGFIELDS_H

#include <ostream>
#include <sstream>
#include <string>

namespace baobabcove {

/// Builds a log message. Values with spaces are quoted.
class LogFields {
public:
  explicit LogFields(const std::string &What) { Text << What; }

  template <class T> LogFields &add(const char *Name, const T &Value) {
    std::ostringstream Out;
    Out << Value;
    const std::string Shown = Out.str();
    const bool Quote = Shown.empty() || Shown.find(' ') != std::string::npos;
    Text << ' ' << Name << '=' << (Quote ? "\"" : "") << Shown
         << (Quote ? "\"" : "");
    return *this;
  }

  friend std::ostream &operator<<(std::ostream &Out, const LogFields &Fields) {
    return Out << Fields.Text.str();
  }

private:
  std::ostringstream Text;
};

} // namespace baobabcove

#endif // BAOBABCOVE_BASE_LOGFIELDS_H
