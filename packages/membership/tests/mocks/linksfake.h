#ifndef CYCLAMENWALK_MEMBERSHIP_TESTS_MOCKS_LINKSFAKE_H
#define CYCLAMENWALK_MEMBERSHIP_TESTS_MOCKS_LINKSFAKE_H

#include "membership/ilinks.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace cyclamenwalk {

/// Records the sent messages.
class LinksFake final : public ILinks {
public:
  void setHooks(Hooks) override {}
  void connect(const std::string &Address) override {
    m_Connected.push_back(Address);
  }
  void send(Incarnation To, Message Body) override {
    m_Sent.emplace_back(To, std::move(Body));
  }
  void disconnect(Incarnation To) override { m_Disconnected.push_back(To); }
  TimePoint confirmedAliveAt(Incarnation Peer) const override {
    return findOr(m_ConfirmedAliveAt, Peer);
  }
  TimePoint callersAliveAt(Incarnation Peer) const override {
    return std::min(findOr(m_CallersAliveAt, Peer), confirmedAliveAt(Peer));
  }
  bool isFlushed() const override { return true; }

  /// The sent messages of one type, in order, with their receivers.
  template <typename T> std::vector<std::pair<Incarnation, T>> sent() const {
    std::vector<std::pair<Incarnation, T>> Messages;
    for (const auto &Addressed : m_Sent)
      if (const auto *Body = std::get_if<T>(&Addressed.second))
        Messages.emplace_back(Addressed.first, *Body);
    return Messages;
  }

  std::vector<std::pair<Incarnation, Message>> m_Sent;
  /// Peers that are not listed are always confirmed alive.
  std::map<Incarnation, TimePoint> m_ConfirmedAliveAt;
  std::map<Incarnation, TimePoint> m_CallersAliveAt;
  std::vector<std::string> m_Connected;
  std::vector<Incarnation> m_Disconnected;

private:
  static TimePoint findOr(const std::map<Incarnation, TimePoint> &Times,
                          Incarnation Peer) {
    auto It = Times.find(Peer);
    return It == Times.end() ? TimePoint::max() - std::chrono::hours(1)
                             : It->second;
  }
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_MEMBERSHIP_TESTS_MOCKS_LINKSFAKE_H
