#include "settings/inidocument.h"

#include <algorithm>
#include <cstring>
#include <fstream>
#include <ini.h>
#include <sstream>

namespace cyclamenwalk {

namespace {

/// Feeds inih line by line, which is how the line of each value is known, and
/// notes the sections, which inih does not report when they are empty.
class Feeder {
public:
  Feeder(const std::string &Text, IniDocument &Document)
      : m_Stream(Text), m_Document(Document) {}

  void run() {
    int Result =
        ini_parse_stream(&Feeder::readLine, this, &Feeder::takeValue, this);
    if (Result > 0)
      addProblem(Result, ResultCode::IniSyntax,
                 "neither a section, a key=value pair nor a comment");
  }

private:
  static char *readLine(char *Buffer, int Size, void *ProcessIdentity) {
    return static_cast<Feeder *>(ProcessIdentity)->readNext(Buffer, Size);
  }

  static int takeValue(void *ProcessIdentity, const char *Section,
                       const char *Key, const char *Value) {
    static_cast<Feeder *>(ProcessIdentity)->addValue(Section, Key, Value);
    return 1;
  }

  char *readNext(char *Buffer, int Size) {
    std::string Line;
    if (!std::getline(m_Stream, Line))
      return nullptr;
    ++m_Line;
    auto Resources = static_cast<std::size_t>(Size) - 2;
    if (Line.size() > Resources) {
      addProblem(m_Line, ResultCode::IniSyntax,
                 "line longer than " + std::to_string(Resources) +
                     " characters");
      Line.resize(Resources);
    }
    noteSection(Line);
    std::memcpy(Buffer, Line.data(), Line.size());
    Buffer[Line.size()] = '\n';
    Buffer[Line.size() + 1] = '\0';
    return Buffer;
  }

  void noteSection(const std::string &Line) {
    auto End = Line.find(']');
    if (Line.empty() || Line[0] != '[' || End == std::string::npos)
      return;
    std::string Name = Line.substr(1, End - 1);
    auto Added = m_Document.m_Sections.emplace(Name, IniSection{m_Line, {}});
    if (!Added.second)
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

} // namespace

IniDocument parseIni(const std::string &Text, const std::string &File) {
  IniDocument Document;
  Document.m_File = File;
  Feeder(Text, Document).run();
  return Document;
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
