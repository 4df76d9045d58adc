#ifndef CYCLAMENWALK_CORE_TYPES_IDS_H
#define CYCLAMENWALK_CORE_TYPES_IDS_H

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace cyclamenwalk {

/// Identifies one run of a process by a random number that is drawn when it
/// starts and never reused.
struct Incarnation {
  std::uint64_t m_Value = 0;
  auto operator<=>(const Incarnation &) const = default;
};

/// Identifies a job by the entry that owns it and a sequence number of that
/// entry.
struct JobId {
  Incarnation m_Entry;
  std::uint64_t m_Sequence = 0;
  auto operator<=>(const JobId &) const = default;
};

/// Identifies a task by its job and its index in the submission.
struct TaskId {
  JobId m_Job;
  std::uint32_t m_Index = 0;
  auto operator<=>(const TaskId &) const = default;
};

/// Identifies a credit; unique within one incarnation of the issuing agent.
struct CreditId {
  std::uint64_t m_Value = 0;
  auto operator<=>(const CreditId &) const = default;
};

/// Identifies a ticket for a request that is not repeatable. Only the entry
/// that issued the ticket may run the request.
struct TicketId {
  Incarnation m_Entry;
  std::uint64_t m_Sequence = 0;
  auto operator<=>(const TicketId &) const = default;
};

/// Returns a new incarnation drawn from the system's random source.
Incarnation generateIncarnation();

std::string toString(Incarnation Id);
std::string toString(JobId Id);
std::string toString(TaskId Id);
std::string toString(TicketId Id);

/// Parses the output of toString(); empty when \p Text has another format.
std::optional<Incarnation> parseIncarnation(std::string_view Text);
std::optional<JobId> parseJobId(std::string_view Text);
std::optional<TicketId> parseTicketId(std::string_view Text);

} // namespace cyclamenwalk

template <> struct std::hash<cyclamenwalk::Incarnation> {
  std::size_t operator()(cyclamenwalk::Incarnation Id) const noexcept {
    return std::hash<std::uint64_t>()(Id.m_Value);
  }
};

template <> struct std::hash<cyclamenwalk::JobId> {
  std::size_t operator()(cyclamenwalk::JobId Id) const noexcept {
    return Id.m_Entry.m_Value ^ (Id.m_Sequence * 0x9e3779b97f4a7c15ULL);
  }
};

template <> struct std::hash<cyclamenwalk::TaskId> {
  std::size_t operator()(cyclamenwalk::TaskId Id) const noexcept {
    return std::hash<cyclamenwalk::JobId>()(Id.m_Job) * 31 + Id.m_Index;
  }
};

template <> struct std::hash<cyclamenwalk::CreditId> {
  std::size_t operator()(cyclamenwalk::CreditId Id) const noexcept {
    return std::hash<std::uint64_t>()(Id.m_Value);
  }
};

#endif // CYCLAMENWALK_CORE_TYPES_IDS_H
