#include "http/types/httpmessage.h"

#include <strings.h>

namespace cyclamenwalk {

namespace {

std::string findValue(const std::map<std::string, std::string> &Values,
                      const std::string &Name) {
  auto It = Values.find(Name);
  return It == Values.end() ? std::string() : It->second;
}

} // namespace

const char *toString(HttpFailure Failure) {
  switch (Failure) {
  case HttpFailure::None:
    return "none";
  case HttpFailure::ConnectFailed:
    return "connect_failed";
  case HttpFailure::ConnectionLost:
    return "connection_lost";
  case HttpFailure::TimedOut:
    return "timed_out";
  case HttpFailure::Malformed:
    return "malformed";
  case HttpFailure::Other:
    break;
  }
  return "other";
}

std::string HttpRequest::header(const std::string &Name) const {
  for (const auto &Header : m_Headers)
    if (strcasecmp(Header.first.c_str(), Name.c_str()) == 0)
      return Header.second;
  return {};
}

std::string HttpRequest::query(const std::string &Name) const {
  return findValue(m_Query, Name);
}

std::string HttpRequest::path(const std::string &Name) const {
  return findValue(m_Path, Name);
}

} // namespace cyclamenwalk
