#ifndef CYCLAMENWALK_WORKER_INTERNAL_RUNPROGRESS_H
#define CYCLAMENWALK_WORKER_INTERNAL_RUNPROGRESS_H

#include "worker/internal/run.h"

namespace cyclamenwalk {

/// Takes the progress of a run from a list. Returns whether the run progresses
/// for the first time.
bool updateProgress(Run &Updated, const ActiveRun &Listed, TimePoint Now);

/// Whether the run has made no progress for longer than one step of its
/// progress can take.
bool isStalled(const Run &Candidate);

/// The remaining run time by the progress; zero while it is too coarse or the
/// run may stall.
Duration forecastRemaining(const Run &Running, TimePoint Now);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_WORKER_INTERNAL_RUNPROGRESS_H
