#ifndef CYCLAMENWALK_MEMBERSHIP_TESTS_MOCKS_LINKSFAKE_H
#define CYCLAMENWALK_MEMBERSHIP_TESTS_MOCKS_LINKSFAKE_H

#include "membership/ilinks.h"

#include <utility>
#include <vector>

namespace cyclamenwalk {

/// Keeps what is sent, for a test to look at.
class LinksFake final : public ILinks {
public:
  void setHooks(Hooks) override {}
  void connect(const std::string &) override {}
  void send(Incarnation Peer, Message Body) override {
    m_Sent.emplace_back(Peer, std::move(Body));
  }
  void disconnect(Incarnation) override {}
  bool isFlushed() const override { return true; }

  /// The messages of one type, in order, with their receivers.
  template <typename T> std::vector<std::pair<Incarnation, T>> sent() const {
    std::vector<std::pair<Incarnation, T>> Found;
    for (const auto &Known : m_Sent)
      if (const auto *Body = std::get_if<T>(&Known.second))
        Found.emplace_back(Known.first, *Body);
    return Found;
  }

  std::vector<std::pair<Incarnation, Message>> m_Sent;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_MEMBERSHIP_TESTS_MOCKS_LINKSFAKE_H
