#include "soak/soakcallers.h"

#include "core/controlloop.h"
#include "http/multiplexhttp.h"

#include <atomic>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <sstream>
#include <thread>

namespace cyclamenwalk {

namespace {

using Json = nlohmann::json;

constexpr Duration CallerTimeout = seconds(4);
/// Of callers that keep their connection until the process is gone.
constexpr Duration PatientCallerTimeout = seconds(12);
constexpr double PatientRatio = 0.3;
constexpr Duration DisconnectTimeout = milliseconds(60);
constexpr Duration ResendDelay = milliseconds(1300);
constexpr std::uint32_t MaxAttempts = 3;
constexpr int MinTaskMilliseconds = 20;
constexpr int MaxTaskMilliseconds = 250;
/// A cancelled task would run on for longer than its cancellation may take.
constexpr int MinCancelledTaskMilliseconds = 4000;
constexpr int MaxCancelledTaskMilliseconds = 6500;
constexpr int MaxLongTasks = 2;
constexpr int MinMemoryMb = 16;
constexpr int MaxMemoryMb = 6000;
constexpr Duration MinCancelDelay = milliseconds(50);
constexpr Duration MaxCancelDelay = milliseconds(1500);
constexpr Duration CancelTimeout = seconds(2);
constexpr Duration CancelRepeatDelay = seconds(1);
constexpr int MaxCancelAttempts = 4;
/// An entry counts as just started for this time.
constexpr Duration StartedRecently = milliseconds(1500);
constexpr Duration StartRetryPeriod = milliseconds(50);
constexpr int HttpOk = 200;
constexpr int HttpGone = 410;
constexpr int HttpBadGateway = 502;
constexpr int HttpGatewayTimeout = 504;
/// The entry may not have read a request yet whose connection ends sooner.
constexpr Duration MinAcceptanceTime = milliseconds(200);
constexpr std::size_t MaxConnections = 64;

} // namespace

class SoakCallers::Impl {
public:
  Impl(const Fleet &TestFleet, SoakChecker &Checker, CallerOptions Options)
      : m_Fleet(TestFleet), m_Checker(Checker), m_Options(Options),
        m_Random(Options.m_Seed),
        m_Client({MaxConnections, seconds(1)}, m_Loop) {
    m_Loop.post([this] { scheduleNext(); });
    m_Thread = std::thread([this] { m_Loop.run(); });
  }

  ~Impl() {
    stop();
    m_Loop.stop();
    m_Thread.join();
  }

  void setGracefulStop(int Entry, bool IsStopping) {
    m_Loop.post([this, Entry, IsStopping] {
      if (IsStopping)
        m_StoppingEntries.insert(Entry);
      else
        m_StoppingEntries.erase(Entry);
    });
  }

  void recordRestart(int Entry) {
    m_Loop.post([this, Entry] {
      m_StartedEntry = Entry;
      m_StartedAt = m_Loop.now();
    });
  }

  std::size_t awaitedJobs() const { return m_AwaitedJobs; }

  void stop() {
    m_IsStopped = true;
    while (m_JobsInProgress > 0)
      std::this_thread::sleep_for(milliseconds(20));
  }

private:
  struct Attempt {
    SoakJob m_Job;
    std::uint32_t m_AttemptNumber = 1;
    bool m_Disconnects = false;
    Duration m_Timeout = CallerTimeout;
    /// Negative before the first submission.
    int m_Entry = -1;
    TimePoint m_SentAt;
  };

  int drawNumber(int Min, int Max) {
    return std::uniform_int_distribution<int>(Min, Max)(m_Random);
  }

  bool draw(double Ratio) {
    return std::bernoulli_distribution(Ratio)(m_Random);
  }

  void scheduleNext() {
    std::exponential_distribution<double> Gap(m_Options.m_JobsPerSecond);
    auto Delay = scaled(seconds(1), Gap(m_Random));
    m_Loop.subscribe(Delay, [this] {
      if (m_IsStopped)
        return;
      sendNew();
      scheduleNext();
    });
  }

  void sendNew() {
    Attempt Current;
    std::ostringstream Name;
    Name << std::hex << std::setfill('0') << std::setw(8) << m_Options.m_Seed
         << std::setw(8) << ++m_LastJobNumber;
    Current.m_Job.m_Name = Name.str();
    Current.m_Job.m_MilliCores = drawNumber(500, 4000);
    Current.m_Job.m_MemoryMb = drawNumber(MinMemoryMb, MaxMemoryMb);
    bool IsCancelled = draw(m_Options.m_CancelRatio);
    drawTasks(Current.m_Job, IsCancelled);
    Current.m_Disconnects = !IsCancelled && draw(m_Options.m_DisconnectRatio);
    bool IsLong = std::stoi(Current.m_Job.m_Spec) > MaxTaskMilliseconds;
    if (IsLong || draw(PatientRatio))
      Current.m_Timeout = PatientCallerTimeout;
    ++m_JobsInProgress;
    if (!IsCancelled && !Current.m_Disconnects)
      ++m_AwaitedJobs;
    send(Current);
    if (IsCancelled)
      scheduleCancellation(Current.m_Job.m_Name);
  }

  void drawTasks(SoakJob &Job, bool IsCancelled) {
    bool IsLong = IsCancelled || draw(m_Options.m_LongRatio);
    int MinTime = MinTaskMilliseconds;
    int MaxTime = MaxTaskMilliseconds;
    if (IsLong)
      MaxTime = static_cast<int>(toMilliseconds(m_Options.m_MaxLongTime));
    if (IsCancelled) {
      MinTime = MinCancelledTaskMilliseconds;
      MaxTime = MaxCancelledTaskMilliseconds;
    }
    Job.m_Tasks =
        static_cast<std::uint32_t>(drawNumber(1, IsLong ? MaxLongTasks : 6));
    Job.m_Spec = std::to_string(drawNumber(MinTime, MaxTime));
  }

  void scheduleCancellation(const std::string &Job) {
    ++m_JobsInProgress;
    Duration Delay = milliseconds(
        drawNumber(static_cast<int>(toMilliseconds(MinCancelDelay)),
                   static_cast<int>(toMilliseconds(MaxCancelDelay))));
    m_Loop.subscribe(Delay, [this, Job] { cancel(Job, 1); });
  }

  /// Cancels the job at an entry that was just started, if there is one.
  void cancel(const std::string &Job, int AttemptNumber) {
    m_CancelledJobs.insert(Job);
    bool HasStarted = m_Loop.now() - m_StartedAt < StartedRecently;
    int Entry = HasStarted && draw(0.7)
                    ? m_StartedEntry
                    : drawNumber(0, m_Fleet.options().m_EntryCount - 1);
    HttpRequest Request;
    Request.m_Method = "DELETE";
    Request.m_Url = "http://" + m_Fleet.callAddress(Entry) + "/q/" + Job;
    m_Client.send(Request, CancelTimeout,
                  [this, Job, AttemptNumber](const HttpResponse &Response) {
                    receiveCancellation(Job, AttemptNumber, Response.m_Status);
                  });
  }

  void receiveCancellation(const std::string &Job, int AttemptNumber,
                           int Status) {
    bool IsAnswered = Status == HttpOk || Status == HttpGone;
    if (IsAnswered)
      m_Checker.recordCancellation(Job, m_Loop.now());
    if (IsAnswered || AttemptNumber == MaxCancelAttempts) {
      --m_JobsInProgress;
      return;
    }
    bool HasStarted = m_Loop.now() - m_StartedAt < StartedRecently;
    m_Loop.subscribe(HasStarted ? StartRetryPeriod : CancelRepeatDelay,
                     [this, Job, Next = AttemptNumber + (HasStarted ? 0 : 1)] {
                       cancel(Job, Next);
                     });
  }

  int drawOtherEntry(int Last) {
    int Count = m_Fleet.options().m_EntryCount;
    if (Last < 0 || Count == 1)
      return drawNumber(0, Count - 1);
    int Drawn = drawNumber(0, Count - 2);
    return Drawn < Last ? Drawn : Drawn + 1;
  }

  void send(Attempt Current) {
    Current.m_Entry = drawOtherEntry(Current.m_Entry);
    m_Checker.recordSubmission(Current.m_Job, m_Loop.now());
    HttpRequest Request;
    Request.m_Method = "POST";
    // The proxy would go on to accept connections after the entry has exited.
    std::string Address = m_StoppingEntries.count(Current.m_Entry) > 0
                              ? m_Fleet.directAddress(Current.m_Entry)
                              : m_Fleet.callAddress(Current.m_Entry);
    Request.m_Url = "http://" + Address + "/q/" + Current.m_Job.m_Name;
    Current.m_SentAt = m_Loop.now();
    Request.m_Headers["X-Cyclamenwalk-Deadline-Ms"] =
        std::to_string(toMilliseconds(Current.m_Timeout));
    Request.m_Body =
        Json{{"spec", Current.m_Job.m_Spec},
             {"best-effort", true},
             {"steps",
              {{{"count", Current.m_Job.m_Tasks},
                {"cpu", Current.m_Job.m_MilliCores},
                {"mem-mb", Current.m_Job.m_MemoryMb},
                {"estimated-ms", std::stoi(Current.m_Job.m_Spec)}}}}}
            .dump();
    m_Client.send(Request,
                  Current.m_Disconnects ? DisconnectTimeout : Current.m_Timeout,
                  [this, Current](const HttpResponse &Response) {
                    receive(Current, Response);
                  });
  }

  void receive(Attempt Current, const HttpResponse &Response) {
    Json Body = Json::parse(Response.m_Body, nullptr, false);
    std::string JobState =
        Body.is_object() ? Body.value("state", std::string()) : std::string();
    const std::string &Name = Current.m_Job.m_Name;
    m_Checker.recordAnswer(Name, Response.m_Status, JobState);
    bool IsUnanswered = Response.m_Status == 0 && Response.m_WasSent &&
                        !Current.m_Disconnects &&
                        m_StoppingEntries.count(Current.m_Entry) > 0 &&
                        m_Loop.now() - Current.m_SentAt > MinAcceptanceTime;
    if (IsUnanswered)
      m_Checker.reportViolation(
          "entry-" + std::to_string(Current.m_Entry) +
          " closed the connection of job " + Name +
          " without an answer during a graceful stop, " +
          std::to_string(toMilliseconds(m_Loop.now() - Current.m_SentAt)) +
          " ms after it was sent");
    bool IsRetryable = Response.m_Status == 0 ||
                       Response.m_Status == HttpBadGateway ||
                       Response.m_Status == HttpGatewayTimeout;
    bool IsResent = IsRetryable && !Current.m_Disconnects &&
                    m_CancelledJobs.count(Name) == 0 &&
                    Current.m_AttemptNumber < MaxAttempts;
    if (!IsResent) {
      m_Checker.recordAbandonment(Name, m_Loop.now());
      --m_JobsInProgress;
      return;
    }
    ++Current.m_AttemptNumber;
    m_Loop.subscribe(ResendDelay, [this, Current] { resend(Current); });
  }

  void resend(const Attempt &Current) {
    if (m_CancelledJobs.count(Current.m_Job.m_Name) == 0)
      return send(Current);
    m_Checker.recordAbandonment(Current.m_Job.m_Name, m_Loop.now());
    --m_JobsInProgress;
  }

  const Fleet &m_Fleet;
  SoakChecker &m_Checker;
  const CallerOptions m_Options;
  std::mt19937 m_Random;
  std::uint32_t m_LastJobNumber = 0;
  std::set<int> m_StoppingEntries;
  std::set<std::string> m_CancelledJobs;
  int m_StartedEntry = 0;
  TimePoint m_StartedAt;
  std::atomic<bool> m_IsStopped = false;
  std::atomic<int> m_JobsInProgress = 0;
  std::atomic<std::size_t> m_AwaitedJobs = 0;
  ControlLoop m_Loop;
  MultiplexHttp m_Client;
  std::thread m_Thread;
};

SoakCallers::SoakCallers(const Fleet &TestFleet, SoakChecker &Checker,
                         CallerOptions Options)
    : m_Impl(std::make_unique<Impl>(TestFleet, Checker, Options)) {}
SoakCallers::~SoakCallers() = default;

void SoakCallers::setGracefulStop(int Entry, bool IsStopping) {
  m_Impl->setGracefulStop(Entry, IsStopping);
}
void SoakCallers::recordRestart(int Entry) { m_Impl->recordRestart(Entry); }
std::size_t SoakCallers::awaitedJobs() const { return m_Impl->awaitedJobs(); }
void SoakCallers::stop() { m_Impl->stop(); }

} // namespace cyclamenwalk
