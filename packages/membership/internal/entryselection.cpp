#include "membership/internal/entryselection.h"

#include <algorithm>
#include <xxhash.h>

namespace cyclamenwalk {

namespace {

std::uint64_t rendezvousWeight(const std::string &Agent,
                               const EntryAddress &Entry) {
  return XXH64(Agent.data(), Agent.size(), Entry.m_Incarnation.m_Value);
}

} // namespace

EntrySelection::EntrySelection(SelectionSettings Settings, ILinks &Links,
                               ITimerService &Timers, LookupHook LookUpEntries)
    : m_Settings(std::move(Settings)), m_Links(Links), m_Timers(Timers),
      m_LookUpEntries(std::move(LookUpEntries)) {}

EntrySelection::~EntrySelection() { m_Timers.cancel(m_Timer); }

void EntrySelection::start() {
  m_Timer =
      m_Timers.subscribeEvery(m_Settings.m_CheckPeriod, [this] { check(); });
  check();
}

void EntrySelection::setEntries(std::vector<EntryAddress> Entries) {
  if (Entries == m_Entries)
    return;
  m_Entries = std::move(Entries);
  check();
}

void EntrySelection::linkUp(Incarnation Entry) { m_Linked.insert(Entry); }

void EntrySelection::linkDown(Incarnation Entry) { m_Linked.erase(Entry); }

const std::vector<EntryAddress> &EntrySelection::entries() const {
  return m_Entries;
}

void EntrySelection::check() {
  for (const EntryAddress &Entry : selectEntries())
    if (!m_Linked.count(Entry.m_Incarnation))
      m_Links.connect(Entry.m_Address);
  if (!m_Linked.empty())
    return;
  for (const std::string &Seed : m_Settings.m_Seeds)
    m_Links.connect(Seed);
  m_LookUpEntries();
}

std::vector<EntryAddress> EntrySelection::selectEntries() const {
  std::vector<EntryAddress> Ranked = m_Entries;
  std::sort(Ranked.begin(), Ranked.end(),
            [this](const EntryAddress &Left, const EntryAddress &Right) {
              return rendezvousWeight(m_Settings.m_AgentName, Left) >
                     rendezvousWeight(m_Settings.m_AgentName, Right);
            });
  if (Ranked.size() > m_Settings.m_MaxLinks)
    Ranked.resize(m_Settings.m_MaxLinks);
  return Ranked;
}

} // namespace cyclamenwalk
