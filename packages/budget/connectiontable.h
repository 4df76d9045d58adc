#ifndef CYCLAMENWALK_BUDGET_CONNECTIONTABLE_H
#define CYCLAMENWALK_BUDGET_CONNECTIONTABLE_H

#include "core/types/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

namespace cyclamenwalk {

/// Identifies a connection of a listener; never used twice.
using ConnectionNumber = std::uint64_t;

/// What a connection is doing.
enum class ConnectionPhase : std::size_t {
  /// No complete header has arrived since it was opened or last answered.
  Waiting,
  /// The body of a request is arriving.
  Receiving,
  /// A handler runs. No time limit applies.
  Answering,
  /// A response is being written.
  Writing,
  /// It was refused, and what still arrives is discarded.
  Closing,
  Count
};

/// Time limits of connections; zero for none.
struct ConnectionLimits {
  Duration m_HeaderTimeout{};
  Duration m_IdleTimeout{};
  /// Minimum of the mean rate at which a body arrives. A body has the header
  /// timeout in addition.
  std::uint64_t m_BodyBytesPerSecond = 0;
  /// Time for a client to read its response.
  Duration m_WriteTimeout{};
  /// Time for a refused client to read the refusal.
  Duration m_LingerTime = milliseconds(500);
};

enum class CloseReason {
  HeaderTooSlow,
  BodyTooSlow,
  ReaderTooSlow,
  Idle,
  LingerEnded
};

struct ConnectionToClose {
  ConnectionNumber m_Number = 0;
  CloseReason m_Reason = CloseReason::Idle;
};

/// Decides which connections of a listener are closed because they are too slow
/// or have to make room for others. Uses no I/O; not thread-safe.
class ConnectionTable {
public:
  static constexpr Duration CheckPeriod = milliseconds(250);

  /// Whether any part of a header has arrived since \p Since.
  using HeaderTest =
      std::function<bool(ConnectionNumber Number, TimePoint Since)>;

  void setLimits(const ConnectionLimits &Limits) { m_Limits = Limits; }

  void add(ConnectionNumber Number, TimePoint Now);
  void remove(ConnectionNumber Number);
  void setPhase(ConnectionNumber Number, ConnectionPhase Phase, TimePoint Now);
  /// Records a part of a body.
  void recordBytes(ConnectionNumber Number, std::size_t Bytes, TimePoint Now);

  /// The connections whose time is up, at most once each. HasHeaderBegun is
  /// asked only about those that have waited for the header timeout.
  std::vector<ConnectionToClose> takeOverdue(TimePoint Now,
                                             const HeaderTest &HasHeaderBegun);

  /// The connection to close when another one needs its place: the one that has
  /// waited longest without a header, else the one whose body has been stalled
  /// for longest. None if all of them are busy or too recent, so that
  /// newcomers are refused instead.
  std::optional<ConnectionNumber> chooseVictim(TimePoint Now) const;

  /// The connections from which nothing is expected to have arrived recently.
  std::vector<ConnectionNumber> listQuiet(TimePoint Now) const;

  /// Whether takeOverdue() is to be called every CheckPeriod.
  bool needsChecks() const {
    return size() > count(ConnectionPhase::Answering);
  }

  /// Nothing for a connection that is not in the table.
  std::optional<ConnectionPhase> phaseOf(ConnectionNumber Number) const;

  std::size_t size() const { return m_Connections.size(); }
  std::size_t count(ConnectionPhase Phase) const;

private:
  struct Connection {
    ConnectionNumber m_Number = 0;
    ConnectionPhase m_Phase = ConnectionPhase::Waiting;
    TimePoint m_PhaseStart;
    /// Of the latest part of a body.
    TimePoint m_LastBytes;
    TimePoint m_NextCheck;
    std::uint64_t m_BodyBytes = 0;
  };
  using List = std::list<Connection>;

  List &listOf(ConnectionPhase Phase);
  const List &listOf(ConnectionPhase Phase) const;
  TimePoint firstCheck(const Connection &Current) const;
  std::optional<CloseReason> checkWaiting(Connection &Current, TimePoint Now,
                                          const HeaderTest &HasHeaderBegun);
  std::optional<CloseReason> checkReceiving(Connection &Current,
                                            TimePoint Now) const;
  std::optional<CloseReason> check(Connection &Current, TimePoint Now,
                                   const HeaderTest &HasHeaderBegun);

  ConnectionLimits m_Limits;
  /// By phase. Waiting connections are ordered by the time since when they
  /// wait, receiving ones by their latest part of a body.
  std::array<List, static_cast<std::size_t>(ConnectionPhase::Count)> m_Lists;
  std::unordered_map<ConnectionNumber, List::iterator> m_Connections;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_BUDGET_CONNECTIONTABLE_H
