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
};

/// How this process presents itself in a Hello.
struct ProcessIdentity {
  std::string m_Name;
  Incarnation m_Incarnation;
  std::string m_Address;
  std::string m_FailureDomain;
  Role m_Role = Role::Agent;
};

/// Bounds of a link between two processes.
struct LinkSettings {
  /// How often each link is checked against the bounds below.
  Duration m_CheckPeriod = milliseconds(250);
  /// A received message is acknowledged within this time.
  Duration m_AcknowledgeWithin = milliseconds(500);
  /// A heartbeat is sent when nothing else was for this time.
  Duration m_HeartbeatPeriod = seconds(1);
  /// A fresh connection replaces one on which a message was not acknowledged,
  /// or nothing arrived, for this time.
  Duration m_RedialAfter = milliseconds(1500);
  /// While the peer has not replied at all, it is dialled anew this often, as
  /// it may just have been started.
  Duration m_HelloRetryPeriod = milliseconds(500);
  /// The link is down when nothing was heard for this time.
  Duration m_Lease = seconds(6);
  /// Messages awaiting acknowledgement beyond which the link is down.
  std::size_t m_MaxUnacknowledged = 65536;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_MEMBERSHIP_TYPES_PEER_H
