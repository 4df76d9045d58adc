#ifndef CYCLAMENWALK_FORWARD_INTERNAL_JOBLOOKUP_H
#define CYCLAMENWALK_FORWARD_INTERNAL_JOBLOOKUP_H

#include "forward/joblookupmodule.h"
#include "statechart/boundchart.h"

#include <map>
#include <set>

namespace cyclamenwalk {

enum class LookupState : std::uint8_t { Asking, Found, Ended };
enum class LookupEvent { Found, Advance, TimeUp };

template <> struct ChartNames<LookupState> {
  static constexpr std::array<std::string_view, 3> Values{"asking", "found",
                                                          "ended"};
};
template <> struct ChartNames<LookupEvent> {
  static constexpr std::array<std::string_view, 3> Values{"found", "advance",
                                                          "timeUp"};
};

/// One search for a job at the entry that was asked for it.
struct Lookup {
  /// A question that is under way.
  struct Question {
    /// The linked entry that it was sent to.
    Incarnation m_Via;
    TimePoint m_AskedAt;
    std::uint32_t m_Attempts = 0;
  };

  LookupState m_State = LookupState::Asking;
  std::uint64_t m_Request = 0;
  std::string m_Name;
  bool m_IsCancellation = false;
  TimePoint m_StartedAt;
  /// By the entry that is asked.
  std::map<Incarnation, Question> m_Questions;
  /// The entries that have said that they don't run the job.
  std::set<Incarnation> m_Denials;
  /// The other entries that may run it.
  std::set<Incarnation> m_Undecided;
  /// Whether there are no members beside those in m_Denials and m_Undecided.
  bool m_AreMembersKnown = false;
  IJobLookup::Callback m_Done;
  TimerId m_Deadline = 0;
  TimerId m_Retry = 0;
};

class JobLookup final : public IJobLookup {
public:
  JobLookup(Incarnation Entry, JobLookupSettings Settings, JobLookupHooks Hooks,
            JobLookupDependencies Dependencies);
  ~JobLookup() override;

  void cancel(const std::string &Name, Duration Within, Callback Done) override;
  void find(const std::string &Name, Duration Within, Callback Done) override;
  void close() override;
  void entryUp(const Peer &Entry) override;
  void entryDown(const Peer &Entry) override;
  bool receive(Incarnation Entry, Message &Body) override;

private:
  using Chart = BoundChart<Lookup, LookupState, LookupEvent>;
  using LookupPointer = std::shared_ptr<Lookup>;

  Chart bindChart(const IChartSource &Charts);
  void start(const std::string &Name, bool IsCancellation, Duration Within,
             Callback Done);
  bool findHere(const std::string &Name, bool IsCancellation);
  void fire(const LookupPointer &Item, LookupEvent Event);
  void advance(const LookupPointer &Item);
  LookupPointer lookup(std::uint64_t Request) const;
  void advanceAll();
  void updateMembers(Lookup &Item) const;

  void askMembers(Lookup &Item);
  void ask(Lookup &Item, Incarnation Asked);
  void askThroughAnother(Lookup &Item, Incarnation Asked);
  void sendQuestion(Lookup &Item, Incarnation Asked, Incarnation Via);
  void answer(Lookup &Item, ResultCode Code);

  void receiveQuestion(Incarnation From, const FindJob &Body);
  void receiveReply(Incarnation From, const FindJobReply &Body);

  const Incarnation m_Self;
  const JobLookupSettings m_Settings;
  const JobLookupHooks m_Hooks;
  const JobLookupDependencies m_Dependencies;
  ITimerService &m_Timers;
  const Chart m_Chart;
  std::set<Incarnation> m_Linked;
  std::map<std::uint64_t, LookupPointer> m_Lookups;
  std::uint64_t m_LastRequest = 0;
  bool m_IsClosed = false;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_FORWARD_INTERNAL_JOBLOOKUP_H
