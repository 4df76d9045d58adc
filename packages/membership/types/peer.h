#ifndef CYCLAMENWALK_MEMBERSHIP_TYPES_PEER_H
#define CYCLAMENWALK_MEMBERSHIP_TYPES_PEER_H

#include "message/types/messages.h"

namespace cyclamenwalk {

/// The process at the other end of a link, from its Hello.
struct Peer {
  std::string m_Name;
  Incarnation m_Incarnation;
  std::string m_Address;
  std::string m_FailureDomain;
  Role m_Role = Role::Agent;
  /// Its share of a core, in thousandths; zero when unknown.
  std::uint32_t m_ProcessorMilliCores = 0;
};

/// What this process states about itself in a Hello.
struct ProcessIdentity {
  std::string m_Name;
  Incarnation m_Incarnation;
  std::string m_Address;
  std::string m_FailureDomain;
  Role m_Role = Role::Agent;
  /// As in Peer.
  std::uint32_t m_ProcessorMilliCores = 0;
};

/// Periods and limits of a link between two processes.
struct LinkSettings {
  /// How often each link is checked against the limits below.
  Duration m_CheckPeriod = milliseconds(250);
  /// The maximum delay of an acknowledgement.
  Duration m_MaxAcknowledgementDelay = milliseconds(500);
  /// A heartbeat is sent when no other message was sent for this time.
  Duration m_HeartbeatPeriod = seconds(1);
  /// The connection is replaced when a message was not acknowledged, or
  /// nothing was received, for this time.
  Duration m_StallTimeout = milliseconds(1500);
  /// How often a new connection is opened until the peer has replied to the
  /// Hello; it may be starting up.
  Duration m_HelloRetryPeriod = milliseconds(500);
  /// The link is closed when nothing was received for this time.
  Duration m_Lease = seconds(6);
  /// An entry on whose behalf this process acts is asked for an echo when it
  /// was last confirmed alive longer ago.
  Duration m_MaxConfirmationAge = seconds(3);
  /// The link to such an entry is closed when it was last confirmed alive
  /// longer ago.
  Duration m_ConfirmationTimeout = seconds(6);
  /// The link is closed when more messages than this await acknowledgement.
  std::size_t m_MaxUnacknowledged = 65536;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_MEMBERSHIP_TYPES_PEER_H
