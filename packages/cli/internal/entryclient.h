#ifndef CYCLAMENWALK_CLI_INTERNAL_ENTRYCLIENT_H
#define CYCLAMENWALK_CLI_INTERNAL_ENTRYCLIENT_H

#include "cli/internal/command.h"
#include "core/types/time.h"

#include <nlohmann/json.hpp>
#include <string>

namespace cyclamenwalk {

/// Calls one entry for a command, with its address and token from the options.
class EntryClient {
public:
  explicit EntryClient(const CommandOptions &Options);

  /// Throws Error with EntryUnreachable when there is no answer.
  HttpResponse call(const std::string &Method, const std::string &Path,
                    const std::string &Body = "",
                    Duration Timeout = seconds(60)) const;

private:
  std::string m_Address;
  std::string m_Token;
};

/// The options --entry, --token and --json that these commands share.
void addEntryOptions(boost::program_options::options_description &Options);

/// Prints a problem, and gives the exit status that belongs to its code.
ExitStatus reportProblem(const HttpResponse &Response, bool AsJson);

constexpr int HttpOk = 200;

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_CLI_INTERNAL_ENTRYCLIENT_H
