#ifndef CYCLAMENWALK_BATCH_INTERNAL_WORKERSPEEDS_H
#define CYCLAMENWALK_BATCH_INTERNAL_WORKERSPEEDS_H

#include "core/types/ids.h"
#include "policy/types/workerspeed.h"

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace cyclamenwalk {

/// The slowness of the workers of one service, by what their ends have shown.
class WorkerSpeeds {
public:
  /// Takes the speed that a worker of \p Kind has reported.
  void add(Incarnation Agent, const std::string &Kind,
           const LearnedSpeed &Speed);

  /// Shrinks the added speeds to those of their kinds.
  void update();

  /// Applies to a worker that was not added, too; it counts as one of its kind.
  double slowness(Incarnation Agent, const std::string &Kind) const;

  /// The median over the workers of \p Kind; the mean for an unknown kind.
  double slownessOf(const std::string &Kind) const;

  /// The workers that are noticeably slower than their kind.
  std::set<Incarnation> slowAgents() const;

  /// The mean over all workers.
  double mean() const { return m_Mean; }
  /// The median of each kind.
  const std::map<std::string, double> &byKind() const { return m_ByKind; }

private:
  struct Members {
    std::vector<Incarnation> m_Agents;
    std::vector<LearnedSpeed> m_Speeds;
  };

  std::map<std::string, Members> m_Members;
  std::map<std::string, double> m_ByKind;
  std::unordered_map<Incarnation, double> m_ByAgent;
  double m_Mean = 1;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_BATCH_INTERNAL_WORKERSPEEDS_H
