#ifndef CYCLAMENWALK_ENTRY_INTERNAL_FORWARDING_H
#define CYCLAMENWALK_ENTRY_INTERNAL_FORWARDING_H

#include "entry/internal/entrycontext.h"
#include "http/types/httpmessage.h"

namespace cyclamenwalk {

/// Marks a request that one entry passes on to another, which answers it
/// itself or not at all.
constexpr const char *ForwardedHeader = "X-Cyclamenwalk-Forwarded";

/// Passes a request on to the entry that owns what it names, from a traffic
/// thread. The answer is OwnerLost when that entry is not a member or cannot
/// be reached.
HttpResponse forwardTo(EntryContext &Entry, Incarnation Owner,
                       const HttpRequest &Request);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_ENTRY_INTERNAL_FORWARDING_H
