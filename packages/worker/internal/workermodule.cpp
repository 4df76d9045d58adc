#include "worker/workermodule.h"

#include "worker/internal/workerservice.h"

namespace cyclamenwalk {

std::unique_ptr<IWorkerService>
makeWorkerService(WorkerSettings Settings, WorkerDependencies Dependencies) {
  return std::make_unique<WorkerService>(Settings, std::move(Dependencies));
}

} // namespace cyclamenwalk
