#ifndef CYCLAMENWALK_PROCESS_PROCESSLISTENER_H
#define CYCLAMENWALK_PROCESS_PROCESSLISTENER_H

#include "http/httpserver.h"
#include "settings/processsettings.h"

namespace cyclamenwalk {

/// The HTTP listener of a process without the platform, whose handlers may
/// block.
HttpServerSettings makeProcessListener(const ProcessSettings &Settings,
                                       IMetrics &Metrics);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_PROCESS_PROCESSLISTENER_H
