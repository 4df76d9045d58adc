#include "membership/entrymesh.h"

#include "core/log.h"

#include <algorithm>
#include <set>

namespace cyclamenwalk {

class EntryMesh::Impl {
public:
  Impl(EntryAddress Self, Settings MeshSettings, IEntryRegistry &Registry,
       ILinks &Links, ITimerService &Timers)
      : m_Self(std::move(Self)), m_Settings(std::move(MeshSettings)),
        m_Seeds(m_Settings.m_Seeds.begin(), m_Settings.m_Seeds.end()),
        m_Registry(Registry), m_Links(Links), m_Timers(Timers) {}

  ~Impl() {
    m_Timers.cancel(m_LinkTimer);
    m_Timers.cancel(m_RelinkTimer);
    m_Timers.cancel(m_JoinTimer);
  }

  void start() {
    m_LinkTimer = m_Timers.subscribeEvery(m_Settings.m_LinkPeriod,
                                          [this] { linkEntries(); });
    m_JoinTimer = m_Timers.subscribe(m_Settings.m_MaxJoinTime,
                                     [this] { setJoined("time is up"); });
    linkEntries();
  }

  void setSeeds(const std::vector<std::string> &Seeds) {
    m_Seeds = {Seeds.begin(), Seeds.end()};
  }

  /// Of two entries the one with the lower address opens the link; an entry
  /// that is no seed also opens the links to the seeds, which may not know its
  /// address.
  void linkEntries() {
    std::set<std::string> Addresses = neededAddresses();
    Addresses.insert(m_Seeds.begin(), m_Seeds.end());
    Addresses.erase(m_Self.m_Address);
    for (const std::string &Address : Addresses)
      if (m_Linked.count(Address) == 0 && isOpener(Address))
        m_Links.connect(Address);
    checkJoined();
  }

  void entryUp(const Peer &Entry) {
    m_Linked.insert(Entry.m_Address);
    checkJoined();
  }

  void entryDown(const Peer &Entry) {
    m_Linked.erase(Entry.m_Address);
    relinkSoon();
  }

  /// Not at once: the caller still holds the link that ends.
  void relinkSoon() {
    if (m_RelinkTimer != 0)
      return;
    m_RelinkTimer = m_Timers.subscribe(m_Settings.m_RelinkDelay, [this] {
      m_RelinkTimer = 0;
      linkEntries();
    });
  }

  bool hasJoined() const { return m_HasJoined; }

private:
  std::set<std::string> neededAddresses() const {
    auto Members = m_Registry.members();
    auto Placers = m_Settings.m_SelectPlacers(Members);
    bool IsPlacer =
        std::find(Placers.begin(), Placers.end(), m_Self) != Placers.end();
    std::set<std::string> Addresses;
    for (const EntryAddress &Member : IsPlacer ? Members : Placers)
      Addresses.insert(Member.m_Address);
    return Addresses;
  }

  bool isOpener(const std::string &Address) const {
    bool IsSeed = m_Seeds.count(m_Self.m_Address) > 0;
    return m_Self.m_Address < Address ||
           (!IsSeed && m_Seeds.count(Address) > 0);
  }

  void checkJoined() {
    if (m_HasJoined || !m_Registry.isComplete())
      return;
    std::set<std::string> Needed = neededAddresses();
    Needed.erase(m_Self.m_Address);
    if (std::includes(m_Linked.begin(), m_Linked.end(), Needed.begin(),
                      Needed.end()))
      setJoined("all members that are needed are linked");
  }

  void setJoined(const char *Reason) {
    if (m_HasJoined)
      return;
    m_HasJoined = true;
    m_Timers.cancel(m_JoinTimer);
    logEvent(LogLevel::Info, "entry.joined",
             {{"reason", Reason},
              {"members", m_Registry.members().size()},
              {"linked", m_Linked.size()},
              {"members_known", m_Registry.isComplete() ? "yes" : "no"}});
  }

  const EntryAddress m_Self;
  const Settings m_Settings;
  std::set<std::string> m_Seeds;
  IEntryRegistry &m_Registry;
  ILinks &m_Links;
  ITimerService &m_Timers;
  std::set<std::string> m_Linked;
  bool m_HasJoined = false;
  TimerId m_LinkTimer = 0;
  TimerId m_RelinkTimer = 0;
  TimerId m_JoinTimer = 0;
};

EntryMesh::EntryMesh(EntryAddress Self, Settings MeshSettings,
                     IEntryRegistry &Registry, ILinks &Links,
                     ITimerService &Timers)
    : m_Impl(std::make_unique<Impl>(std::move(Self), std::move(MeshSettings),
                                    Registry, Links, Timers)) {}
EntryMesh::~EntryMesh() = default;

void EntryMesh::start() { m_Impl->start(); }
void EntryMesh::setSeeds(const std::vector<std::string> &Seeds) {
  m_Impl->setSeeds(Seeds);
}
void EntryMesh::linkEntries() { m_Impl->linkEntries(); }
void EntryMesh::entryUp(const Peer &Entry) { m_Impl->entryUp(Entry); }
void EntryMesh::entryDown(const Peer &Entry) { m_Impl->entryDown(Entry); }
void EntryMesh::addressUnreachable(const std::string &) {
  m_Impl->relinkSoon();
}
bool EntryMesh::hasJoined() const { return m_Impl->hasJoined(); }

} // namespace cyclamenwalk
