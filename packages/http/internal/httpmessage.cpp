#include "http/types/httpmessage.h"

#include <strings.h>

namespace cyclamenwalk {

namespace {

std::string find(const std::map<std::string, std::string> &Values,
                 const std::string &Name) {
  auto Found = Values.find(Name);
  return Found == Values.end() ? std::string() : Found->second;
}

} // namespace

std::string HttpRequest::header(const std::string &Name) const {
  for (const auto &Header : m_Headers)
    if (strcasecmp(Header.first.c_str(), Name.c_str()) == 0)
      return Header.second;
  return {};
}

std::string HttpRequest::query(const std::string &Name) const {
  return find(m_Query, Name);
}

std::string HttpRequest::path(const std::string &Name) const {
  return find(m_Path, Name);
}

} // namespace cyclamenwalk
