#include "membership/internal/entryselection.h"

#include <algorithm>
#include <set>
#include <utility>
#include <xxhash.h>

namespace cyclamenwalk {

namespace {

std::uint64_t rendezvousWeight(const std::string &Group,
                               const EntryAddress &Entry) {
  std::uint64_t Seed = XXH64(Entry.m_Name.data(), Entry.m_Name.size(), 0);
  return XXH64(Group.data(), Group.size(), Seed);
}

} // namespace

EntrySelection::EntrySelection(SelectionSettings Settings, SelectionHooks Hooks,
                               ILinks &Links, ITimerService &Timers)
    : m_Settings(std::move(Settings)), m_Hooks(std::move(Hooks)),
      m_Links(Links), m_Timers(Timers), m_Group(m_Settings.m_AgentName) {}

EntrySelection::~EntrySelection() { m_Timers.cancel(m_Timer); }

void EntrySelection::start() {
  m_Timer =
      m_Timers.subscribeEvery(m_Settings.m_CheckPeriod, [this] { check(); });
  check();
}

void EntrySelection::setSeeds(std::vector<std::string> Seeds) {
  m_Settings.m_Seeds = std::move(Seeds);
}

void EntrySelection::setEntries(std::vector<EntryAddress> Entries) {
  if (Entries == m_Entries)
    return;
  m_Entries = std::move(Entries);
  check();
}

void EntrySelection::addEntries(const std::vector<EntryAddress> &Entries) {
  std::vector<EntryAddress> Union = m_Entries;
  for (const EntryAddress &Entry : Entries) {
    std::erase_if(Union, [&Entry](const EntryAddress &Known) {
      return Known.m_Name == Entry.m_Name;
    });
    Union.push_back(Entry);
  }
  std::sort(Union.begin(), Union.end(),
            [](const EntryAddress &Left, const EntryAddress &Right) {
              return Left.m_Name < Right.m_Name;
            });
  setEntries(std::move(Union));
}

void EntrySelection::setGroup(const std::string &Group) { m_Group = Group; }

void EntrySelection::linkUp(const Peer &Entry) {
  m_Linked[Entry.m_Address] = {Entry.m_Incarnation, std::nullopt};
  m_Backoffs.erase(Entry.m_Address);
}

void EntrySelection::linkDown(const Peer &Entry) {
  auto It = m_Linked.find(Entry.m_Address);
  if (It != m_Linked.end() && It->second.m_Entry == Entry.m_Incarnation)
    m_Linked.erase(It);
}

void EntrySelection::addressUnreachable(const std::string &Address) {
  Backoff &Next = m_Backoffs[Address];
  Next.m_Delay = std::clamp(Next.m_Delay * 2, m_Settings.m_MinBackoff,
                            m_Settings.m_MaxBackoff);
  Next.m_Until = m_Timers.now() + Next.m_Delay;
  if (++Next.m_Failures < m_Settings.m_MaxFailures)
    return;
  std::erase_if(m_Entries, [&Address](const EntryAddress &Entry) {
    return Entry.m_Address == Address;
  });
}

const std::vector<EntryAddress> &EntrySelection::entries() const {
  return m_Entries;
}

void EntrySelection::check() {
  auto Selected = selectAddresses();
  for (const std::string &Address : Selected)
    if (!m_Linked.count(Address))
      m_Links.connect(Address);
  if (m_Linked.empty())
    connectToSeeds();
  else
    releaseOthers(Selected);
}

void EntrySelection::connectToSeeds() {
  for (const std::string &Seed : m_Settings.m_Seeds)
    m_Links.connect(Seed);
  m_Hooks.m_LookUpEntries();
}

std::vector<EntryAddress> EntrySelection::rankEntries() const {
  std::set<std::string> PlacerNames;
  for (const EntryAddress &Placer : m_Hooks.m_SelectPlacers(m_Entries))
    PlacerNames.insert(Placer.m_Name);
  std::vector<EntryAddress> Ranked = m_Entries;
  std::sort(Ranked.begin(), Ranked.end(),
            [&](const EntryAddress &Left, const EntryAddress &Right) {
              bool IsLeftPlacer = PlacerNames.count(Left.m_Name) > 0;
              bool IsRightPlacer = PlacerNames.count(Right.m_Name) > 0;
              if (IsLeftPlacer != IsRightPlacer)
                return IsLeftPlacer;
              return rendezvousWeight(m_Group, Left) >
                     rendezvousWeight(m_Group, Right);
            });
  return Ranked;
}

std::vector<std::string> EntrySelection::selectAddresses() const {
  std::vector<std::string> Addresses;
  for (const EntryAddress &Entry : rankEntries())
    if (Addresses.size() < m_Settings.m_MaxLinks &&
        !isBackingOff(Entry.m_Address))
      Addresses.push_back(Entry.m_Address);
  return Addresses;
}

bool EntrySelection::isBackingOff(const std::string &Address) const {
  auto It = m_Backoffs.find(Address);
  return It != m_Backoffs.end() && m_Timers.now() < It->second.m_Until;
}

/// Gives up the links that were only needed to find the selected entries, or
/// while these could not be reached.
void EntrySelection::releaseOthers(const std::vector<std::string> &Selected) {
  if (!m_Hooks.m_ReleaseLink)
    return;
  updateSelected(Selected);
  bool AreAllLinked = std::all_of(
      Selected.begin(), Selected.end(),
      [this](const std::string &Address) { return m_Linked.count(Address); });
  if (!AreAllLinked)
    return;
  for (auto &Item : m_Linked) {
    Linked &Link = Item.second;
    bool IsDue =
        Link.m_UnselectedSince &&
        m_Timers.now() - *Link.m_UnselectedSince >= m_Settings.m_ReleaseDelay;
    if (IsDue && !std::exchange(Link.m_IsReleased, true))
      m_Hooks.m_ReleaseLink(Link.m_Entry);
  }
}

void EntrySelection::updateSelected(const std::vector<std::string> &Selected) {
  for (auto &Item : m_Linked) {
    bool IsSelected = std::find(Selected.begin(), Selected.end(), Item.first) !=
                      Selected.end();
    auto &Since = Item.second.m_UnselectedSince;
    if (IsSelected)
      Since.reset();
    else if (!Since)
      Since = m_Timers.now();
  }
}

} // namespace cyclamenwalk
