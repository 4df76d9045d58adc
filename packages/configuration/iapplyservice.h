#ifndef CYCLAMENWALK_CONFIGURATION_IAPPLYSERVICE_H
#define CYCLAMENWALK_CONFIGURATION_IAPPLYSERVICE_H

#include "configuration/types/configurationrecord.h"

namespace cyclamenwalk {

/// Accepts complete configurations by compare-and-swap of the head row.
class IApplyService {
public:
  using Done = std::function<void(const ApplyResult &)>;

  virtual ~IApplyService() = default;

  virtual void apply(ApplyRequest Request, Done Callback) = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_CONFIGURATION_IAPPLYSERVICE_H
