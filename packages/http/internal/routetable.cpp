#include "http/internal/routetable.h"

#include <optional>
#include <utility>

namespace cyclamenwalk {

namespace {

std::vector<std::string> splitPath(const std::string &Path) {
  std::vector<std::string> Segments;
  for (std::size_t Start = 0; Start < Path.size();) {
    std::size_t End = std::min(Path.find('/', Start), Path.size());
    if (End > Start)
      Segments.push_back(Path.substr(Start, End - Start));
    Start = End + 1;
  }
  return Segments;
}

bool isPlaceholder(const std::string &Segment) {
  return Segment.starts_with(':');
}

std::optional<std::map<std::string, std::string>>
match(const std::vector<std::string> &Pattern,
      const std::vector<std::string> &Segments) {
  if (Pattern.size() != Segments.size())
    return std::nullopt;
  std::map<std::string, std::string> Placeholders;
  for (std::size_t I = 0; I < Pattern.size(); ++I)
    if (isPlaceholder(Pattern[I]))
      Placeholders[Pattern[I].substr(1)] = Segments[I];
    else if (Pattern[I] != Segments[I])
      return std::nullopt;
  return Placeholders;
}

} // namespace

void RouteTable::add(const std::string &Method, const std::string &Path,
                     RouteHandler Handler) {
  m_Routes.push_back({Method, splitPath(Path), std::move(Handler)});
}

const RouteHandler &
RouteTable::find(const std::string &Method, const std::string &Path,
                 std::map<std::string, std::string> &Placeholders) const {
  if (m_Routes.empty())
    return m_Default;
  std::vector<std::string> Segments = splitPath(Path);
  for (const Route &Candidate : m_Routes) {
    if (Candidate.m_Method != Method)
      continue;
    if (auto Matched = match(Candidate.m_Segments, Segments)) {
      Placeholders = std::move(*Matched);
      return Candidate.m_Handler;
    }
  }
  return m_Default;
}

} // namespace cyclamenwalk
