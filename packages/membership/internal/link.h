#ifndef CYCLAMENWALK_MEMBERSHIP_INTERNAL_LINK_H
#define CYCLAMENWALK_MEMBERSHIP_INTERNAL_LINK_H

#include "core/itimerservice.h"
#include "membership/types/peer.h"
#include "statechart/boundchart.h"
#include "transport/itransport.h"

#include <array>
#include <deque>
#include <optional>

namespace cyclamenwalk {

enum class LinkState { Greeting, Up, Silent, Down };
enum class LinkEvent { Hello, Progress, Check, Close };

template <> struct ChartNames<LinkState> {
  static constexpr std::array<std::string_view, 4> Values{"greeting", "up",
                                                          "silent", "down"};
};
template <> struct ChartNames<LinkEvent> {
  static constexpr std::array<std::string_view, 4> Values{"hello", "progress",
                                                          "check", "close"};
};

/// One end of a link: sequence numbers, what awaits acknowledgement, and when
/// the peer was last heard.
struct Link {
  LinkState m_State = LinkState::Greeting;
  std::uint32_t m_Number = 0;
  ChannelId m_Channel = 0;
  /// The address that was connected to; empty on the accepting side.
  std::string m_ConnectAddress;
  Peer m_Peer;

  std::uint64_t m_LastSent = 0;
  std::uint64_t m_LastReceived = 0;
  std::deque<Envelope> m_Unacknowledged;
  bool m_OwesAcknowledgement = false;
  bool m_AskedForResend = false;

  TimePoint m_HeardAt;
  TimePoint m_SentAt;
  TimePoint m_ReceivedAt;
  TimePoint m_DialledAt;
  /// When the oldest message in m_Unacknowledged was last sent.
  TimePoint m_OldestSentAt;
  TimerId m_Timer = 0;
};

using LinkChart = BoundChart<Link, LinkState, LinkEvent>;

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_MEMBERSHIP_INTERNAL_LINK_H
