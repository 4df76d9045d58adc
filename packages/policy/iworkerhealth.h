#ifndef CYCLAMENWALK_POLICY_IWORKERHEALTH_H
#define CYCLAMENWALK_POLICY_IWORKERHEALTH_H

#include "core/types/ids.h"

#include <cstdint>
#include <functional>
#include <string>

namespace cyclamenwalk {

/// Detects workers that are reachable but fail their tasks, and limits the
/// tasks that this entry sends them.
class IWorkerHealth {
public:
  /// Called with the number of tasks that a worker may run for this entry.
  using LimitChanged =
      std::function<void(Incarnation Worker, std::uint32_t Limit)>;

  static constexpr std::uint32_t NoLimit = UINT32_MAX;

  virtual ~IWorkerHealth() = default;

  virtual void onLimitChanged(LimitChanged Hook) = 0;

  virtual void add(Incarnation Worker, const std::string &Service) = 0;
  virtual void remove(Incarnation Worker) = 0;

  /// Records the result of one task.
  virtual void record(Incarnation Worker, bool HasFailed) = 0;

  /// The number of workers that are ejected, probed or ramped up.
  virtual std::uint32_t limitedWorkers() const = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_POLICY_IWORKERHEALTH_H
