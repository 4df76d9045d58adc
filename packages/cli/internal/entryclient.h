#ifndef CYCLAMENWALK_CLI_INTERNAL_ENTRYCLIENT_H
#define CYCLAMENWALK_CLI_INTERNAL_ENTRYCLIENT_H

#include "cli/internal/command.h"
#include "core/types/time.h"

#include <nlohmann/json.hpp>
#include <string>

namespace cyclamenwalk {

/// Calls the entry given by --entry, with the token from the environment
/// variable CYCLAMENWALK_TOKEN.
class EntryClient {
public:
  explicit EntryClient(const CommandOptions &Options);

  /// Throws Error with EntryUnreachable if there is no response.
  HttpResponse call(const std::string &Method, const std::string &Path,
                    const std::string &Body = "",
                    Duration Timeout = seconds(60)) const;

private:
  std::string m_Address;
  std::string m_Token;
};

/// Adds the options --entry and --json.
void addEntryOptions(boost::program_options::options_description &Options);

/// Prints the problem in \p Response and returns the exit status for its code.
ExitStatus reportProblem(const HttpResponse &Response, bool AsJson);

constexpr int HttpOk = 200;

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_CLI_INTERNAL_ENTRYCLIENT_H
