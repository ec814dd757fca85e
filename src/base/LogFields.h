#ifndef BAOBABCOVE_BASE_LOGFIELDS_H
#define BAOBABCOVE_BASE_LOGFIELDS_H

#include <ostream>
#include <sstream>
#include <string>

namespace baobabcove {

/// Builds a log message of the form "event key=value key=value".
class LogFields {
public:
  explicit LogFields(const std::string &Event) { Text << Event; }

  /// Appends a field. Empty values and values with spaces are quoted.
  template <class T> LogFields &add(const char *Name, const T &Value) {
    std::ostringstream Out;
    Out << Value;
    const std::string Printed = Out.str();
    const bool Quote =
        Printed.empty() || Printed.find(' ') != std::string::npos;
    Text << ' ' << Name << '=' << (Quote ? "\"" : "") << Printed
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
