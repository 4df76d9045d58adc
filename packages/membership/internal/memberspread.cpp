#include "membership/memberspread.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace cyclamenwalk {

namespace {

/// The members in \p Current that are not in \p Known in the same form.
std::vector<EntryAddress> difference(const std::vector<EntryAddress> &Current,
                                     const std::vector<EntryAddress> &Known) {
  std::vector<EntryAddress> Added;
  std::copy_if(Current.begin(), Current.end(), std::back_inserter(Added),
               [&Known](const EntryAddress &Member) {
                 return std::find(Known.begin(), Known.end(), Member) ==
                        Known.end();
               });
  return Added;
}

} // namespace

class MemberSpread::Impl {
public:
  Impl(Settings SpreadSettings, ILinks &Links, ITimerService &Timers)
      : m_Settings(std::move(SpreadSettings)), m_Links(Links),
        m_Timers(Timers) {}

  ~Impl() { m_Timers.cancel(m_Timer); }

  void peerUp(const Peer &Other) {
    bool IsAgent = Other.m_Role == Role::Agent;
    (IsAgent ? m_Agents : m_Entries).insert(Other.m_Incarnation);
    const auto &Known = IsAgent ? m_SentPlacers : m_SentMembers;
    if (!Known.empty())
      m_Links.send(Other.m_Incarnation,
                   EntryList{Known, !IsAgent && m_IsSentListComplete});
  }

  void peerDown(const Peer &Other) {
    m_Agents.erase(Other.m_Incarnation);
    m_Entries.erase(Other.m_Incarnation);
  }

  void setMembers(std::vector<EntryAddress> Members) {
    m_Members = std::move(Members);
    sendChangesSoon();
  }

  void setComplete() {
    if (m_IsComplete)
      return;
    m_IsComplete = true;
    sendChangesSoon();
  }

private:
  void sendChangesSoon() {
    if (m_Timer != 0)
      return;
    m_Timer = m_Timers.subscribe(m_Settings.m_CollectDelay, [this] {
      m_Timer = 0;
      sendChanges();
    });
  }

  void sendChanges() {
    sendMembers();
    sendPlacers();
  }

  void sendMembers() {
    bool IsFirstCompleteList = m_IsComplete && !m_IsSentListComplete;
    auto NewMembers = difference(m_Members, m_SentMembers);
    m_SentMembers = m_Members;
    m_IsSentListComplete = m_IsComplete;
    if (IsFirstCompleteList)
      sendTo(m_Entries, {m_Members, true});
    else if (!NewMembers.empty())
      sendTo(m_Entries, {NewMembers, false});
  }

  void sendPlacers() {
    auto Placers = m_Settings.m_SelectPlacers(m_Members);
    if (Placers == m_SentPlacers)
      return;
    m_SentPlacers = std::move(Placers);
    sendTo(m_Agents, {m_SentPlacers, false});
  }

  void sendTo(const std::set<Incarnation> &Receivers, const EntryList &List) {
    for (Incarnation Receiver : Receivers)
      m_Links.send(Receiver, List);
  }

  const Settings m_Settings;
  ILinks &m_Links;
  ITimerService &m_Timers;
  std::set<Incarnation> m_Agents;
  std::set<Incarnation> m_Entries;
  std::vector<EntryAddress> m_Members;
  /// What the linked processes know.
  std::vector<EntryAddress> m_SentMembers;
  std::vector<EntryAddress> m_SentPlacers;
  bool m_IsComplete = false;
  bool m_IsSentListComplete = false;
  TimerId m_Timer = 0;
};

MemberSpread::MemberSpread(Settings SpreadSettings, ILinks &Links,
                           ITimerService &Timers)
    : m_Impl(std::make_unique<Impl>(std::move(SpreadSettings), Links, Timers)) {
}
MemberSpread::~MemberSpread() = default;

void MemberSpread::peerUp(const Peer &Other) { m_Impl->peerUp(Other); }
void MemberSpread::peerDown(const Peer &Other) { m_Impl->peerDown(Other); }
void MemberSpread::setComplete() { m_Impl->setComplete(); }
void MemberSpread::setMembers(std::vector<EntryAddress> Members) {
  m_Impl->setMembers(std::move(Members));
}

} // namespace cyclamenwalk
