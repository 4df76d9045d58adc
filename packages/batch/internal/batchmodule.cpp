#include "batch/batchmodule.h"

#include "batch/internal/batchservice.h"

namespace cyclamenwalk {

std::unique_ptr<IBatchService> makeBatchService(Incarnation Own,
                                                BatchSettings Settings,
                                                BatchHooks Hooks,
                                                BatchDependencies Needs) {
  return std::make_unique<BatchService>(Own, Settings, std::move(Hooks), Needs);
}

} // namespace cyclamenwalk
