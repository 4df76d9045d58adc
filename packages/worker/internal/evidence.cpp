#include "worker/types/evidence.h"

#include <array>
#include <cstddef>

namespace cyclamenwalk {

namespace {

constexpr std::array<std::string_view, 8> OutcomeNames{
    "done",    "fenced",         "stale_run", "lease_expired",
    "refused", "wrong_instance", "not_sent",  "unanswered"};
constexpr std::array<std::string_view, 8> StartReplyNames{
    "start_accepted",      "start_fenced",    "start_stale",
    "start_lease_expired", "start_refused",   "start_wrong_instance",
    "start_not_sent",      "start_unanswered"};
/// In the order of the alternatives of RunEvidence; the first is unused.
constexpr std::array<std::string_view, 4> RunEvidenceNames{
    "start_reply", "listed_running", "listed_end", "not_listed"};
constexpr std::array<std::string_view, 6> ServerEvidenceNames{
    "own_start_time",     "other_instance",     "lease_lapsed",
    "connection_refused", "later_announcement", "deregistration"};
static_assert(std::variant_size_v<RunEvidence> == RunEvidenceNames.size());
static_assert(std::variant_size_v<ServerEvidence> ==
              ServerEvidenceNames.size());

} // namespace

std::string_view nameOf(OrderOutcome Outcome) {
  return OutcomeNames.at(static_cast<std::size_t>(Outcome));
}

std::string_view nameOf(const RunEvidence &Evidence) {
  if (const auto *Start = std::get_if<StartReplied>(&Evidence))
    return StartReplyNames.at(static_cast<std::size_t>(Start->m_Outcome));
  return RunEvidenceNames.at(Evidence.index());
}

std::string_view nameOf(const ServerEvidence &Evidence) {
  return ServerEvidenceNames.at(Evidence.index());
}

} // namespace cyclamenwalk
