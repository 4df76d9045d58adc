#include "settings/inireader.h"

#include "core/types/durationtext.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <optional>

namespace cyclamenwalk {

namespace {

constexpr std::size_t MaxNameLength = 63;
constexpr std::uint32_t MaxPort = 65535;
constexpr std::int64_t MaxPercent = 100;
constexpr std::int64_t Kilobyte = 1024;
constexpr std::int64_t Megabyte = 1024 * Kilobyte;
constexpr std::int64_t Gigabyte = 1024 * Megabyte;
const char *const NameSyntax = "a name of 1 to 63 letters, digits, '-' and '.'";
const char *const AddressSyntax = "an address IP:PORT";

std::string describeMismatch(const std::string &Key, const std::string &Text,
                             const std::string &Expected) {
  return Key + " = " + Text + ": expected " + Expected;
}

std::string trim(const std::string &Text) {
  auto First = Text.find_first_not_of(" \t");
  if (First == std::string::npos)
    return {};
  auto Last = Text.find_last_not_of(" \t");
  return Text.substr(First, Last - First + 1);
}

/// A product of a number and a unit, rounded down.
std::optional<std::int64_t> toSize(const std::string &Text) {
  static const std::map<std::string, std::int64_t, std::less<>> Bytes = {
      {"B", 1}, {"KB", Kilobyte}, {"MB", Megabyte}, {"GB", Gigabyte}};
  auto Prefix = parseDecimalPrefix(Text);
  if (!Prefix)
    return std::nullopt;
  auto Unit = Bytes.find(trim(std::string(Prefix->m_Rest)));
  if (Unit == Bytes.end())
    return std::nullopt;
  return floorOfProduct(Prefix->m_Number, Unit->second);
}

std::optional<std::int64_t> toPercent(const std::string &Text) {
  auto Prefix = parseDecimalPrefix(Text);
  bool HasUnit = Prefix && trim(std::string(Prefix->m_Rest)) == "%";
  return HasUnit ? toWhole(Prefix->m_Number) : std::nullopt;
}

std::optional<std::int64_t> toWholeNumber(const std::string &Text) {
  auto Number = parseDecimal(Text);
  return Number ? toWhole(*Number) : std::nullopt;
}

bool isPort(const std::string &Text) {
  std::uint32_t Port = 0;
  const char *End = Text.data() + Text.size();
  auto Result = std::from_chars(Text.data(), End, Port);
  return Result.ec == std::errc() && Result.ptr == End && Port > 0 &&
         Port <= MaxPort;
}

} // namespace

bool isName(const std::string &Text) {
  auto IsAllowed = [](unsigned char Letter) {
    return std::isalnum(Letter) || Letter == '-' || Letter == '.';
  };
  return !Text.empty() && Text.size() <= MaxNameLength &&
         std::all_of(Text.begin(), Text.end(), IsAllowed);
}

bool isAddress(const std::string &Text) {
  auto Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return false;
  in_addr Address;
  bool IsIpv4Address =
      inet_pton(AF_INET, Text.substr(0, Colon).c_str(), &Address) == 1;
  return IsIpv4Address && isPort(Text.substr(Colon + 1));
}

class IniReader::Impl {
public:
  explicit Impl(IniDocument Document)
      : m_Document(std::move(Document)), m_Problems(m_Document.m_Problems) {}

  const IniValue *find(const std::string &Section, const std::string &Key) {
    m_ReadKeys[Section].insert(Key);
    auto It = m_Document.m_Sections.find(Section);
    if (It == m_Document.m_Sections.end())
      return nullptr;
    auto Value = It->second.m_Values.find(Key);
    return Value == It->second.m_Values.end() ? nullptr : &Value->second;
  }

  void addProblem(int Line, ResultCode Code, const std::string &Detail) {
    m_Problems.push_back({m_Document.m_File, Line, Code, Detail});
  }

  void addBadValue(const std::string &Key, const IniValue &Value,
                   ResultCode Code, const std::string &Expected) {
    addProblem(Value.m_Line, Code,
               describeMismatch(Key, Value.m_Text, Expected));
  }

  int lineOf(const std::string &Section) const {
    auto It = m_Document.m_Sections.find(Section);
    return It == m_Document.m_Sections.end() ? 0 : It->second.m_Line;
  }

  void addUnknownNames() {
    for (const auto &Section : m_Document.m_Sections) {
      auto Keys = m_ReadKeys.find(Section.first);
      if (Keys == m_ReadKeys.end()) {
        addProblem(Section.second.m_Line, ResultCode::UnknownSection,
                   "unknown section [" + Section.first + "]");
        continue;
      }
      for (const auto &Value : Section.second.m_Values)
        if (!Keys->second.count(Value.first))
          addProblem(Value.second.m_Line, ResultCode::UnknownKey,
                     "unknown key " + Value.first + " in [" + Section.first +
                         "]");
    }
  }

  IniDocument m_Document;
  std::map<std::string, std::set<std::string>> m_ReadKeys;
  std::vector<Problem> m_Problems;
};

IniReader::IniReader(IniDocument Document)
    : m_Impl(std::make_unique<Impl>(std::move(Document))) {}
IniReader::~IniReader() = default;

std::vector<std::string> IniReader::namedSections(const std::string &Kind) {
  std::vector<std::string> Names;
  std::string Prefix = Kind + " ";
  for (const auto &Section : m_Impl->m_Document.m_Sections) {
    if (Section.first.rfind(Prefix, 0) != 0)
      continue;
    std::string Name = trim(Section.first.substr(Prefix.size()));
    if (!isName(Name))
      m_Impl->addProblem(Section.second.m_Line, ResultCode::BadName,
                         "section [" + Section.first + "]: expected " +
                             NameSyntax);
    m_Impl->m_ReadKeys[Section.first];
    Names.push_back(Name);
  }
  return Names;
}

std::string IniReader::text(const std::string &Section, const std::string &Key,
                            const std::string &Default) {
  const IniValue *Value = m_Impl->find(Section, Key);
  return Value ? Value->m_Text : Default;
}

std::string IniReader::requiredText(const std::string &Section,
                                    const std::string &Key) {
  const IniValue *Value = m_Impl->find(Section, Key);
  if (Value)
    return Value->m_Text;
  m_Impl->addProblem(m_Impl->lineOf(Section), ResultCode::MissingKey,
                     "key " + Key + " is missing in [" + Section + "]");
  return {};
}

std::string IniReader::requiredName(const std::string &Section,
                                    const std::string &Key) {
  std::string Text = requiredText(Section, Key);
  if (!Text.empty() && !isName(Text))
    addProblem(Section, Key, ResultCode::BadName,
               describeMismatch(Key, Text, NameSyntax));
  return Text;
}

std::string IniReader::address(const std::string &Section,
                               const std::string &Key, bool IsRequired) {
  std::string Text =
      IsRequired ? requiredText(Section, Key) : text(Section, Key, "");
  if (!Text.empty() && !isAddress(Text))
    addProblem(Section, Key, ResultCode::BadAddress,
               describeMismatch(Key, Text, AddressSyntax));
  return Text;
}

std::vector<std::string> IniReader::list(const std::string &Section,
                                         const std::string &Key) {
  std::vector<std::string> Items;
  std::string Remaining = text(Section, Key, "");
  while (!Remaining.empty()) {
    auto Comma = Remaining.find(',');
    std::string Item = trim(Remaining.substr(0, Comma));
    if (!Item.empty())
      Items.push_back(Item);
    Remaining = Comma == std::string::npos ? "" : Remaining.substr(Comma + 1);
  }
  return Items;
}

std::vector<std::string> IniReader::addresses(const std::string &Section,
                                              const std::string &Key) {
  std::vector<std::string> Items = list(Section, Key);
  for (const std::string &Item : Items)
    if (!isAddress(Item))
      addProblem(Section, Key, ResultCode::BadAddress,
                 describeMismatch(Key, Item, AddressSyntax));
  return Items;
}

std::uint32_t IniReader::number(const std::string &Section,
                                const std::string &Key, std::uint32_t Default,
                                std::uint32_t Min, std::uint32_t Max) {
  const IniValue *Value = m_Impl->find(Section, Key);
  if (!Value)
    return Default;
  auto Number = toWholeNumber(Value->m_Text);
  if (Number && *Number >= Min && *Number <= Max)
    return static_cast<std::uint32_t>(*Number);
  m_Impl->addBadValue(Key, *Value, ResultCode::BadNumber,
                      "a whole number from " + std::to_string(Min) + " to " +
                          std::to_string(Max));
  return Default;
}

std::uint32_t IniReader::percent(const std::string &Section,
                                 const std::string &Key,
                                 std::uint32_t Default) {
  const IniValue *Value = m_Impl->find(Section, Key);
  if (!Value)
    return Default;
  auto Percent = toPercent(Value->m_Text);
  if (Percent && *Percent <= MaxPercent)
    return static_cast<std::uint32_t>(*Percent);
  m_Impl->addBadValue(Key, *Value, ResultCode::BadNumber,
                      "a whole percentage such as 50%");
  return Default;
}

Duration IniReader::duration(const std::string &Section, const std::string &Key,
                             Duration Default) {
  const IniValue *Value = m_Impl->find(Section, Key);
  if (!Value)
    return Default;
  auto Result = parseDuration(Value->m_Text);
  if (Result && *Result > Duration::zero())
    return *Result;
  m_Impl->addBadValue(Key, *Value, ResultCode::BadDuration,
                      "a duration above 0 such as 500ms, 2.5s or 5min");
  return Default;
}

std::uint64_t IniReader::size(const std::string &Section,
                              const std::string &Key, std::uint64_t Default) {
  const IniValue *Value = m_Impl->find(Section, Key);
  if (!Value)
    return Default;
  auto Result = toSize(Value->m_Text);
  if (Result && *Result > 0)
    return static_cast<std::uint64_t>(*Result);
  m_Impl->addBadValue(Key, *Value, ResultCode::BadSize,
                      "a size above 0 such as 512KB or 1.5MB");
  return Default;
}

std::uint64_t IniReader::megabytes(const std::string &Section,
                                   const std::string &Key,
                                   std::uint64_t DefaultBytes,
                                   std::uint32_t Min, std::uint32_t Max) {
  const IniValue *Value = m_Impl->find(Section, Key);
  if (!Value)
    return DefaultBytes;
  auto Number = parseDecimal(Value->m_Text);
  auto Bytes = Number ? floorOfProduct(*Number, Megabyte) : std::nullopt;
  if (Bytes && *Bytes >= Min * Megabyte && *Bytes <= Max * Megabyte)
    return static_cast<std::uint64_t>(*Bytes);
  m_Impl->addBadValue(Key, *Value, ResultCode::BadNumber,
                      "a number of megabytes from " + std::to_string(Min) +
                          " to " + std::to_string(Max));
  return DefaultBytes;
}

std::string IniReader::choice(const std::string &Section,
                              const std::string &Key,
                              const std::string &Default,
                              const std::set<std::string> &Allowed) {
  std::string Text = text(Section, Key, Default);
  if (Allowed.count(Text))
    return Text;
  std::string Options;
  for (const std::string &Name : Allowed)
    Options += " " + Name;
  addProblem(Section, Key, ResultCode::BadName,
             describeMismatch(Key, Text, "one of" + Options));
  return Default;
}

void IniReader::addProblem(const std::string &Section, const std::string &Key,
                           ResultCode Code, const std::string &Detail) {
  const IniValue *Value = m_Impl->find(Section, Key);
  m_Impl->addProblem(Value ? Value->m_Line : m_Impl->lineOf(Section), Code,
                     Detail);
}

void IniReader::finish() {
  m_Impl->addUnknownNames();
  auto &Problems = m_Impl->m_Problems;
  if (Problems.empty())
    return;
  std::stable_sort(Problems.begin(), Problems.end(),
                   [](const Problem &Left, const Problem &Right) {
                     return Left.m_Line < Right.m_Line;
                   });
  throw SettingsError(Problems);
}

} // namespace cyclamenwalk
