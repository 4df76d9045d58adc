#ifndef CYCLAMENWALK_POLICY_IWORKERHEALTH_H
#define CYCLAMENWALK_POLICY_IWORKERHEALTH_H

#include "core/types/ids.h"

#include <cstdint>
#include <functional>
#include <string>

namespace cyclamenwalk {

/// Finds workers that fail what they start while looking healthy.
class IWorkerHealth {
public:
  /// Told how many tasks a worker may run for this entry from now on.
  using LimitChanged =
      std::function<void(Incarnation Worker, std::uint32_t Limit)>;

  static constexpr std::uint32_t NoLimit = UINT32_MAX;

  virtual ~IWorkerHealth() = default;

  virtual void onLimitChanged(LimitChanged Hook) = 0;

  virtual void add(Incarnation Worker, const std::string &Service) = 0;
  virtual void remove(Incarnation Worker) = 0;

  /// The result of one task.
  virtual void record(Incarnation Worker, bool HasFailed) = 0;

  /// Workers that are ejected or on their way back.
  virtual std::uint32_t limited() const = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_POLICY_IWORKERHEALTH_H
