#ifndef CYCLAMENWALK_ENTRY_INTERNAL_POLICYCHOICE_H
#define CYCLAMENWALK_ENTRY_INTERNAL_POLICYCHOICE_H

#include "policy/policymodule.h"
#include "settings/processsettings.h"

namespace cyclamenwalk {

/// Returns the hooks of the policies that the settings select.
PolicyHooks choosePolicies(const EntrySettings &Settings);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_ENTRY_INTERNAL_POLICYCHOICE_H
