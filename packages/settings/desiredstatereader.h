#ifndef CYCLAMENWALK_SETTINGS_DESIREDSTATEREADER_H
#define CYCLAMENWALK_SETTINGS_DESIREDSTATEREADER_H

#include "configuration/types/desiredstate.h"

#include <string>

namespace cyclamenwalk {

/// Reads a configuration; throws SettingsError with all problems. \p File is
/// the file name given in them.
DesiredState readDesiredState(const std::string &Text, const std::string &File);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_SETTINGS_DESIREDSTATEREADER_H
