#include "settings/inidocument.h"

#include <algorithm>
#include <cstring>
#include <fstream>
#include <ini.h>
#include <sstream>

namespace cyclamenwalk {

namespace {

/// Passes the text to inih line by line in order to know the line of each
/// value, and records the sections itself, because inih does not report empty
/// ones.
class LineParser {
public:
  LineParser(const std::string &Text, IniDocument &Document)
      : m_Stream(Text), m_Document(Document) {}

  void parse() {
    int FirstErrorLine = ini_parse_stream(&LineParser::readLineCallback, this,
                                          &LineParser::addValueCallback, this);
    if (FirstErrorLine > 0)
      addProblem(FirstErrorLine, ResultCode::IniSyntax,
                 "expected a section, a key=value pair or a comment");
  }

private:
  static char *readLineCallback(char *Buffer, int Size, void *Parser) {
    return static_cast<LineParser *>(Parser)->readLine(Buffer, Size);
  }

  static int addValueCallback(void *Parser, const char *Section,
                              const char *Key, const char *Value) {
    static_cast<LineParser *>(Parser)->addValue(Section, Key, Value);
    return 1;
  }

  char *readLine(char *Buffer, int Size) {
    std::string Line;
    if (!std::getline(m_Stream, Line))
      return nullptr;
    ++m_Line;
    auto MaxLineLength = static_cast<std::size_t>(Size) - 2;
    if (Line.size() > MaxLineLength) {
      addProblem(m_Line, ResultCode::IniSyntax,
                 "the line has " + std::to_string(Line.size()) +
                     " characters, expected at most " +
                     std::to_string(MaxLineLength));
      Line.resize(MaxLineLength);
    }
    recordSection(Line);
    std::memcpy(Buffer, Line.data(), Line.size());
    Buffer[Line.size()] = '\n';
    Buffer[Line.size() + 1] = '\0';
    return Buffer;
  }

  void recordSection(const std::string &Line) {
    auto End = Line.find(']');
    if (Line.empty() || Line[0] != '[' || End == std::string::npos)
      return;
    std::string Name = Line.substr(1, End - 1);
    auto Insertion =
        m_Document.m_Sections.emplace(Name, IniSection{m_Line, {}});
    if (!Insertion.second)
      addProblem(m_Line, ResultCode::DuplicateKey,
                 "section [" + Name + "] appears twice");
  }

  void addValue(const std::string &Section, const std::string &Key,
                const std::string &Value) {
    auto &Values = m_Document.m_Sections[Section].m_Values;
    if (!Values.emplace(Key, IniValue{Value, m_Line}).second)
      addProblem(m_Line, ResultCode::DuplicateKey,
                 "key " + Key + " appears twice in [" + Section + "]");
  }

  void addProblem(int Line, ResultCode Code, const std::string &Detail) {
    m_Document.m_Problems.push_back({m_Document.m_File, Line, Code, Detail});
  }

  std::istringstream m_Stream;
  IniDocument &m_Document;
  int m_Line = 0;
};

std::string qualifiedKey(const std::string &Section, const std::string &Key) {
  std::string Qualified = Section;
  Qualified.append(".").append(Key);
  return Qualified;
}

} // namespace

IniDocument parseIni(const std::string &Text, const std::string &File) {
  IniDocument Document;
  Document.m_File = File;
  LineParser(Text, Document).parse();
  return Document;
}

std::map<std::string, std::string> listValues(const IniDocument &Document) {
  std::map<std::string, std::string> Texts;
  for (const auto &[SectionName, Section] : Document.m_Sections)
    for (const auto &[Key, Value] : Section.m_Values)
      Texts[qualifiedKey(SectionName, Key)] = Value.m_Text;
  return Texts;
}

std::string readFile(const std::string &File) {
  std::ifstream Stream(File);
  if (!Stream)
    throw SettingsError(
        {{File, 0, ResultCode::UnreadableFile, "the file cannot be read"}});
  std::stringstream Text;
  Text << Stream.rdbuf();
  return Text.str();
}

} // namespace cyclamenwalk
