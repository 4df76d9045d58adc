#include "membership/internal/entryselection.h"

#include <algorithm>
#include <xxhash.h>

namespace cyclamenwalk {

namespace {

std::uint64_t weight(const std::string &Agent, const EntryAddress &Entry) {
  return XXH64(Agent.data(), Agent.size(), Entry.m_Incarnation.m_Value);
}

} // namespace

EntrySelection::EntrySelection(SelectionSettings Settings, ILinks &Links,
                               ITimerService &Timers, Lookup FromStore)
    : m_Settings(std::move(Settings)), m_Links(Links), m_Timers(Timers),
      m_FromStore(std::move(FromStore)) {}

EntrySelection::~EntrySelection() { m_Timers.cancel(m_Timer); }

void EntrySelection::start() {
  m_Timer =
      m_Timers.subscribeEvery(m_Settings.m_CheckPeriod, [this] { check(); });
  check();
}

void EntrySelection::offer(std::vector<EntryAddress> Entries) {
  if (Entries == m_Known)
    return;
  m_Known = std::move(Entries);
  check();
}

void EntrySelection::linkUp(Incarnation Entry) { m_Linked.insert(Entry); }

void EntrySelection::linkDown(Incarnation Entry) { m_Linked.erase(Entry); }

const std::vector<EntryAddress> &EntrySelection::known() const {
  return m_Known;
}

void EntrySelection::check() {
  for (const EntryAddress &Entry : chosen())
    if (!m_Linked.count(Entry.m_Incarnation))
      m_Links.connect(Entry.m_Address);
  if (!m_Linked.empty())
    return;
  for (const std::string &Seed : m_Settings.m_Seeds)
    m_Links.connect(Seed);
  m_FromStore();
}

std::vector<EntryAddress> EntrySelection::chosen() const {
  std::vector<EntryAddress> Ranked = m_Known;
  std::sort(Ranked.begin(), Ranked.end(),
            [this](const EntryAddress &Left, const EntryAddress &Right) {
              return weight(m_Settings.m_OwnName, Left) >
                     weight(m_Settings.m_OwnName, Right);
            });
  if (Ranked.size() > m_Settings.m_Links)
    Ranked.resize(m_Settings.m_Links);
  return Ranked;
}

} // namespace cyclamenwalk
