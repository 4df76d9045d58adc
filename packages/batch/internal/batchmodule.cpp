#include "batch/batchmodule.h"

#include "batch/internal/batchservice.h"

namespace cyclamenwalk {

std::unique_ptr<IBatchService>
makeBatchService(Incarnation Entry, BatchSettings Settings, BatchHooks Hooks,
                 BatchDependencies Dependencies) {
  return std::make_unique<BatchService>(Entry, Settings, std::move(Hooks),
                                        Dependencies);
}

} // namespace cyclamenwalk
