#include "forward/internal/joblookup.h"

#include "core/log.h"

#include <iterator>

namespace cyclamenwalk {

namespace {

std::string joinIds(const std::set<Incarnation> &Entries) {
  std::string Text;
  for (Incarnation Entry : Entries)
    Text += (Text.empty() ? "" : ",") + toString(Entry);
  return Text;
}

} // namespace

JobLookup::JobLookup(Incarnation Entry, JobLookupSettings Settings,
                     JobLookupHooks Hooks, JobLookupDependencies Dependencies)
    : m_Self(Entry), m_Settings(Settings), m_Hooks(std::move(Hooks)),
      m_Dependencies(Dependencies), m_Timers(Dependencies.m_Timers),
      m_Chart(bindChart(Dependencies.m_Charts)) {}

JobLookup::~JobLookup() {
  for (const auto &Item : m_Lookups) {
    m_Timers.cancel(Item.second->m_Deadline);
    m_Timers.cancel(Item.second->m_Retry);
  }
}

JobLookup::Chart JobLookup::bindChart(const IChartSource &Charts) {
  return Chart(
      Charts.chart("joblookup"),
      {{"isCancellation",
        [](const Lookup &Item) { return Item.m_IsCancellation; }},
       {"isDeniedByAllMembers",
        [](const Lookup &Item) {
          return Item.m_AreMembersKnown && Item.m_Undecided.empty();
        }}},
      {{"askMembers", [this](Lookup &Item) { askMembers(Item); }},
       {"answerFound", [this](Lookup &Item) { answer(Item, ResultCode::Ok); }},
       {"answerNotFound",
        [this](Lookup &Item) { answer(Item, ResultCode::JobNotKnown); }},
       {"answerUnknown",
        [this](Lookup &Item) { answer(Item, ResultCode::LookupIncomplete); }}});
}

void JobLookup::cancel(const std::string &Name, Duration Within,
                       Callback Done) {
  start(Name, true, Within, std::move(Done));
}

void JobLookup::find(const std::string &Name, Duration Within, Callback Done) {
  start(Name, false, Within, std::move(Done));
}

void JobLookup::start(const std::string &Name, bool IsCancellation,
                      Duration Within, Callback Done) {
  auto Item = std::make_shared<Lookup>();
  std::uint64_t Request = ++m_LastRequest;
  Item->m_State = m_Chart.initial();
  Item->m_Request = Request;
  Item->m_Name = Name;
  Item->m_IsCancellation = IsCancellation;
  Item->m_StartedAt = m_Timers.now();
  Item->m_Done = std::move(Done);
  Item->m_Deadline = m_Timers.subscribe(Within, [this, Request] {
    if (LookupPointer Overdue = lookup(Request))
      fire(Overdue, LookupEvent::TimeUp);
  });
  Item->m_Retry =
      m_Timers.subscribeEvery(m_Settings.m_RetryPeriod, [this, Request] {
        if (LookupPointer Waiting = lookup(Request))
          advance(Waiting);
      });
  m_Lookups.emplace(Request, Item);
  updateMembers(*Item);
  if (findHere(Name, IsCancellation))
    fire(Item, LookupEvent::Found);
  if (m_IsClosed)
    return fire(Item, LookupEvent::TimeUp);
  advance(Item);
}

void JobLookup::close() {
  m_IsClosed = true;
  auto Lookups = m_Lookups;
  for (const auto &Item : Lookups)
    fire(Item.second, LookupEvent::TimeUp);
}

bool JobLookup::findHere(const std::string &Name, bool IsCancellation) {
  if (!IsCancellation)
    return m_Dependencies.m_Jobs.isRunning(Name);
  m_Hooks.m_RefuseJob(Name);
  return m_Dependencies.m_Jobs.cancel(Name);
}

void JobLookup::fire(const LookupPointer &Item, LookupEvent Event) {
  m_Chart.fire(*Item, Event);
  if (Item->m_State != LookupState::Ended)
    return;
  m_Timers.cancel(Item->m_Deadline);
  m_Timers.cancel(Item->m_Retry);
  m_Lookups.erase(Item->m_Request);
}

JobLookup::LookupPointer JobLookup::lookup(std::uint64_t Request) const {
  auto It = m_Lookups.find(Request);
  return It == m_Lookups.end() ? nullptr : It->second;
}

void JobLookup::advance(const LookupPointer &Item) {
  updateMembers(*Item);
  fire(Item, LookupEvent::Advance);
}

void JobLookup::advanceAll() {
  auto Lookups = m_Lookups;
  for (const auto &Item : Lookups)
    advance(Item.second);
}

/// Whoever is linked may run the job, whether it is a member or not.
void JobLookup::updateMembers(Lookup &Item) const {
  MemberView View = m_Hooks.m_Members();
  Item.m_AreMembersKnown = View.m_IsComplete;
  Item.m_Undecided = std::move(View.m_Members);
  Item.m_Undecided.insert(m_Linked.begin(), m_Linked.end());
  Item.m_Undecided.erase(m_Self);
  for (Incarnation Entry : Item.m_Denials)
    Item.m_Undecided.erase(Entry);
}

void JobLookup::askMembers(Lookup &Item) {
  bool IsAnyUnlinked = !Item.m_AreMembersKnown;
  for (Incarnation Entry : Item.m_Undecided) {
    IsAnyUnlinked = IsAnyUnlinked || m_Linked.count(Entry) == 0;
    ask(Item, Entry);
  }
  bool IsWaiting = m_Timers.now() > Item.m_StartedAt;
  if (IsAnyUnlinked && IsWaiting)
    m_Hooks.m_RefreshMembers();
}

void JobLookup::ask(Lookup &Item, Incarnation Asked) {
  if (m_Linked.count(Asked) == 0)
    return askThroughAnother(Item, Asked);
  auto It = Item.m_Questions.find(Asked);
  // A link delivers as long as it is up.
  bool IsAsked = It != Item.m_Questions.end() && It->second.m_Via == Asked;
  if (!IsAsked)
    sendQuestion(Item, Asked, Asked);
}

/// Asks each linked entry in turn to pass the question on, since only that one
/// knows whether it has a link.
void JobLookup::askThroughAnother(Lookup &Item, Incarnation Asked) {
  auto It = Item.m_Questions.find(Asked);
  bool IsRecent =
      It != Item.m_Questions.end() &&
      m_Timers.now() - It->second.m_AskedAt < m_Settings.m_RetryPeriod;
  if (m_Linked.empty() || IsRecent)
    return;
  std::uint32_t Attempts =
      It == Item.m_Questions.end() ? 0 : It->second.m_Attempts;
  auto Via = std::next(m_Linked.begin(),
                       static_cast<std::ptrdiff_t>(Attempts % m_Linked.size()));
  sendQuestion(Item, Asked, *Via);
}

void JobLookup::sendQuestion(Lookup &Item, Incarnation Asked, Incarnation Via) {
  Lookup::Question &Question = Item.m_Questions[Asked];
  Question.m_Via = Via;
  Question.m_AskedAt = m_Timers.now();
  ++Question.m_Attempts;
  if (Item.m_IsCancellation)
    logEvent(LogLevel::Info, "cancel.asked",
             {{"job", Item.m_Name},
              {"entry", toString(Asked)},
              {"via", toString(Via)},
              {"attempts", Question.m_Attempts}});
  m_Dependencies.m_Links.send(Via, FindJob{Item.m_Request, m_Self, Asked,
                                           Item.m_Name, Item.m_IsCancellation});
}

void JobLookup::answer(Lookup &Item, ResultCode Code) {
  logEvent(LogLevel::Info,
           Item.m_IsCancellation ? "cancel.answered" : "state.answered",
           {{"job", Item.m_Name},
            {"code", static_cast<int>(Code)},
            {"linked", m_Linked.size()},
            {"asked", Item.m_Questions.size()},
            {"denied", Item.m_Denials.size()},
            {"undecided", joinIds(Item.m_Undecided)},
            {"members_known", Item.m_AreMembersKnown ? "yes" : "no"},
            {"waited_ms", toMilliseconds(m_Timers.now() - Item.m_StartedAt)}});
  Item.m_Done(Code);
}

void JobLookup::entryUp(const Peer &Entry) {
  m_Linked.insert(Entry.m_Incarnation);
  advanceAll();
}

void JobLookup::entryDown(const Peer &Entry) {
  m_Linked.erase(Entry.m_Incarnation);
  for (const auto &Item : m_Lookups)
    std::erase_if(Item.second->m_Questions, [&Entry](const auto &Question) {
      return Question.second.m_Via == Entry.m_Incarnation;
    });
  advanceAll();
}

bool JobLookup::receive(Incarnation Entry, Message &Body) {
  if (const auto *Question = std::get_if<FindJob>(&Body))
    receiveQuestion(Entry, *Question);
  else if (const auto *Reply = std::get_if<FindJobReply>(&Body))
    receiveReply(Entry, *Reply);
  else
    return false;
  return true;
}

void JobLookup::receiveQuestion(Incarnation From, const FindJob &Body) {
  if (Body.m_Asked != m_Self) {
    if (m_Linked.count(Body.m_Asked) > 0)
      m_Dependencies.m_Links.send(Body.m_Asked, Body);
    return;
  }
  bool WasFound = findHere(Body.m_Name, Body.m_Cancels);
  if (Body.m_Cancels)
    logEvent(LogLevel::Info, "cancel.received",
             {{"job", Body.m_Name},
              {"asker", toString(Body.m_Asker)},
              {"via", toString(From)},
              {"found", WasFound ? "yes" : "no"}});
  m_Dependencies.m_Links.send(
      From, FindJobReply{Body.m_Request, Body.m_Asker, m_Self, WasFound});
}

void JobLookup::receiveReply(Incarnation From, const FindJobReply &Body) {
  if (Body.m_Asker != m_Self) {
    if (m_Linked.count(Body.m_Asker) > 0)
      m_Dependencies.m_Links.send(Body.m_Asker, Body);
    return;
  }
  LookupPointer Item = lookup(Body.m_Request);
  if (!Item)
    return;
  if (Item->m_IsCancellation)
    logEvent(LogLevel::Info, "cancel.reply",
             {{"job", Item->m_Name},
              {"entry", toString(Body.m_Asked)},
              {"via", toString(From)},
              {"found", Body.m_WasFound ? "yes" : "no"}});
  // An entry that has cancelled the job runs it no more.
  Item->m_Denials.insert(Body.m_Asked);
  Item->m_Undecided.erase(Body.m_Asked);
  if (Body.m_WasFound)
    fire(Item, LookupEvent::Found);
  if (Item->m_Undecided.empty())
    advance(Item);
}

} // namespace cyclamenwalk
