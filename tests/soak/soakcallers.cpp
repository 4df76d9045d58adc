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
constexpr Duration DisconnectTimeout = milliseconds(60);
constexpr Duration ResendDelay = milliseconds(1300);
constexpr std::uint32_t MaxAttempts = 3;
constexpr int MinTaskMilliseconds = 20;
constexpr int MaxTaskMilliseconds = 250;
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
    int m_Entry = 0;
    TimePoint m_SentAt;
  };

  int drawNumber(int Min, int Max) {
    return std::uniform_int_distribution<int>(Min, Max)(m_Random);
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
    Current.m_Job.m_Tasks = static_cast<std::uint32_t>(drawNumber(1, 6));
    Current.m_Job.m_MilliCores = drawNumber(500, 4000);
    Current.m_Job.m_Spec =
        std::to_string(drawNumber(MinTaskMilliseconds, MaxTaskMilliseconds));
    Current.m_Disconnects =
        drawNumber(1, 1000) <=
        static_cast<int>(1000 * m_Options.m_DisconnectRatio);
    ++m_JobsInProgress;
    send(Current);
  }

  void send(Attempt Current) {
    Current.m_Entry = drawNumber(0, m_Fleet.options().m_EntryCount - 1);
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
        std::to_string(toMilliseconds(CallerTimeout));
    Request.m_Body =
        Json{{"spec", Current.m_Job.m_Spec},
             {"best-effort", true},
             {"steps",
              {{{"count", Current.m_Job.m_Tasks},
                {"cpu", Current.m_Job.m_MilliCores},
                {"mem-mb", 16},
                {"estimated-ms", std::stoi(Current.m_Job.m_Spec)}}}}}
            .dump();
    m_Client.send(Request,
                  Current.m_Disconnects ? DisconnectTimeout : CallerTimeout,
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
                    Current.m_AttemptNumber < MaxAttempts;
    if (!IsResent) {
      m_Checker.recordAbandonment(Name, m_Loop.now());
      --m_JobsInProgress;
      return;
    }
    ++Current.m_AttemptNumber;
    m_Loop.subscribe(ResendDelay, [this, Current] { send(Current); });
  }

  const Fleet &m_Fleet;
  SoakChecker &m_Checker;
  const CallerOptions m_Options;
  std::mt19937 m_Random;
  std::uint32_t m_LastJobNumber = 0;
  std::set<int> m_StoppingEntries;
  std::atomic<bool> m_IsStopped = false;
  std::atomic<int> m_JobsInProgress = 0;
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
void SoakCallers::stop() { m_Impl->stop(); }

} // namespace cyclamenwalk
