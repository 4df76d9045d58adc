#include "core/types/ids.h"

#include <charconv>
#include <random>

namespace cyclamenwalk {

namespace {

constexpr int HexBase = 16;
constexpr std::size_t IncarnationDigits = 16;

struct EntrySequence {
  Incarnation m_Entry;
  std::uint64_t m_Sequence = 0;
};

std::string formatId(char Prefix, Incarnation Entry, std::uint64_t Sequence) {
  std::string Text(1, Prefix);
  Text += toString(Entry);
  Text += '-';
  Text += std::to_string(Sequence);
  return Text;
}

std::optional<EntrySequence> parseEntrySequence(char Prefix,
                                                std::string_view Text) {
  constexpr std::size_t DashIndex = 1 + IncarnationDigits;
  if (Text.size() < DashIndex + 2 || Text[0] != Prefix ||
      Text[DashIndex] != '-')
    return std::nullopt;
  auto Entry = parseIncarnation(Text.substr(1, IncarnationDigits));
  std::uint64_t Sequence = 0;
  const char *End = Text.data() + Text.size();
  auto Result = std::from_chars(Text.data() + DashIndex + 1, End, Sequence);
  if (!Entry || Result.ec != std::errc() || Result.ptr != End)
    return std::nullopt;
  return EntrySequence{*Entry, Sequence};
}

} // namespace

Incarnation generateIncarnation() {
  std::random_device Source;
  std::uniform_int_distribution<std::uint64_t> Distribution(1);
  return Incarnation{Distribution(Source)};
}

std::string toString(Incarnation Id) {
  char Digits[IncarnationDigits + 1];
  std::snprintf(Digits, sizeof(Digits), "%016llx",
                static_cast<unsigned long long>(Id.m_Value));
  return Digits;
}

std::string toString(JobId Id) {
  return formatId('j', Id.m_Entry, Id.m_Sequence);
}

std::string toString(TaskId Id) {
  return toString(Id.m_Job) + "-" + std::to_string(Id.m_Index);
}

std::string toString(TicketId Id) {
  return formatId('t', Id.m_Entry, Id.m_Sequence);
}

std::optional<Incarnation> parseIncarnation(std::string_view Text) {
  if (Text.size() != IncarnationDigits)
    return std::nullopt;
  Incarnation Id;
  const char *End = Text.data() + Text.size();
  auto Result = std::from_chars(Text.data(), End, Id.m_Value, HexBase);
  if (Result.ec != std::errc() || Result.ptr != End)
    return std::nullopt;
  return Id;
}

std::optional<JobId> parseJobId(std::string_view Text) {
  auto Parsed = parseEntrySequence('j', Text);
  if (!Parsed)
    return std::nullopt;
  return JobId{Parsed->m_Entry, Parsed->m_Sequence};
}

std::optional<TicketId> parseTicketId(std::string_view Text) {
  auto Parsed = parseEntrySequence('t', Text);
  if (!Parsed)
    return std::nullopt;
  return TicketId{Parsed->m_Entry, Parsed->m_Sequence};
}

} // namespace cyclamenwalk
