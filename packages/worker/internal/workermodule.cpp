#include "worker/workermodule.h"

#include "worker/internal/workerservice.h"

namespace cyclamenwalk {

std::unique_ptr<IWorkerService> makeWorkerService(WorkerSettings Settings,
                                                  WorkerDependencies Needs) {
  return std::make_unique<WorkerService>(Settings, std::move(Needs));
}

} // namespace cyclamenwalk
