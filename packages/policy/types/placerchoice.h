#ifndef CYCLAMENWALK_POLICY_TYPES_PLACERCHOICE_H
#define CYCLAMENWALK_POLICY_TYPES_PLACERCHOICE_H

#include "core/types/ids.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace cyclamenwalk {

/// An entry that can place a job on workers, as known to the entry that
/// received the job.
struct PlacerView {
  Incarnation m_Entry;
  /// Whether it is the entry that received the job.
  bool m_IsSelf = false;
  /// The cores of its workers, in thousandths, that it last stated as free,
  /// less those of the jobs sent to it since.
  std::int64_t m_FreeMilliCores = 0;
  /// Whether it sees the rack that holds the job's data.
  bool m_SeesRack = false;
};

/// The job to be placed.
struct PlacerQuery {
  /// The cores that all tasks require, in thousandths.
  std::int64_t m_MilliCores = 0;
  /// Whether the job names the rack that holds its data.
  bool m_NamesRack = false;
  /// Whether only placers with free cores for all tasks are of use.
  bool m_RequiresRoom = false;
  /// Random numbers, drawn for each choice.
  std::uint64_t m_FirstRandom = 0;
  std::uint64_t m_SecondRandom = 0;
};

/// Returns nothing when no placer is of use.
using PlacerChoice = std::function<std::optional<Incarnation>(
    const std::vector<PlacerView> &, const PlacerQuery &)>;

/// Prefers placers that see the rack of the data, among these the entry itself
/// if it has room, and else the freer of two drawn at random: the statements
/// of free cores are old, and all entries would choose the same freest placer.
std::optional<Incarnation> choosePlacer(const std::vector<PlacerView> &Placers,
                                        const PlacerQuery &Query);

/// Baseline: the entry itself, if it sees workers.
std::optional<Incarnation>
choosePlacerLocally(const std::vector<PlacerView> &Placers,
                    const PlacerQuery &Query);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_POLICY_TYPES_PLACERCHOICE_H
