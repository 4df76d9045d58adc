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

enum class LinkState { Connecting, Up, Stalled, Down };
enum class LinkEvent { Hello, Progress, Check, Close };

template <> struct ChartNames<LinkState> {
  static constexpr std::array<std::string_view, 4> Values{"connecting", "up",
                                                          "stalled", "down"};
};
template <> struct ChartNames<LinkEvent> {
  static constexpr std::array<std::string_view, 4> Values{"hello", "progress",
                                                          "check", "close"};
};

/// The state of one end of a link: sequence numbers, messages that await
/// acknowledgement, and times of the last activity.
struct LinkEndpoint {
  LinkState m_State = LinkState::Connecting;
  std::uint32_t m_Number = 0;
  ChannelId m_Channel = 0;
  /// Empty on the accepting side.
  std::string m_ConnectAddress;
  Peer m_Peer;

  std::uint64_t m_LastSentSequence = 0;
  std::uint64_t m_LastReceivedSequence = 0;
  std::deque<Envelope> m_Unacknowledged;
  bool m_IsAcknowledgementPending = false;
  bool m_IsResendRequested = false;

  /// The latest Envelope::m_SentAt received from the peer; zero before.
  Duration m_PeerSentAt{};
  /// Envelope::m_SentAt of the message that the next two come from.
  Duration m_ConfirmationSentAt{};
  /// As returned by ILinks.
  TimePoint m_ConfirmedAliveAt;
  TimePoint m_CallersAliveAt;

  TimePoint m_OpenedAt;
  TimePoint m_LastHeardAt;
  TimePoint m_LastSentAt;
  /// When the oldest message that was not acknowledged yet arrived.
  TimePoint m_OldestReceivedAt;
  /// When a connection was last opened.
  TimePoint m_LastConnectAt;
  /// When the oldest message in m_Unacknowledged was last sent.
  TimePoint m_OldestSentAt;
  TimerId m_Timer = 0;
};

using LinkChart = BoundChart<LinkEndpoint, LinkState, LinkEvent>;

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_MEMBERSHIP_INTERNAL_LINK_H
