#ifndef CYCLAMENWALK_ENTRY_INTERNAL_FORWARDING_H
#define CYCLAMENWALK_ENTRY_INTERNAL_FORWARDING_H

#include "entry/internal/entrycontext.h"
#include "http/types/httpmessage.h"

namespace cyclamenwalk {

/// Marks a forwarded request, which is not forwarded again.
constexpr const char *ForwardedHeader = "X-Cyclamenwalk-Forwarded";

/// Forwards a request to the entry that owns its job or ticket. Blocks, so it
/// is called on a traffic thread. The response is OwnerLost when \p Owner is
/// not a member or cannot be reached.
HttpResponse forwardTo(EntryContext &Context, Incarnation Owner,
                       const HttpRequest &Request);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_ENTRY_INTERNAL_FORWARDING_H
