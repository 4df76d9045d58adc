#ifndef CYCLAMENWALK_PROCESS_CHARTLOCATION_H
#define CYCLAMENWALK_PROCESS_CHARTLOCATION_H

#include <string>

namespace cyclamenwalk {

/// The folder of the charts: \p Configured if not empty, otherwise
/// share/cyclamenwalk/charts next to the folder of the running program.
std::string chartLocation(const std::string &Configured);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_PROCESS_CHARTLOCATION_H
