#include "metrics/metricsregistry.h"

#include <array>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <vector>

namespace cyclamenwalk {

namespace {

constexpr std::size_t CounterCount = static_cast<std::size_t>(Metric::Count);

struct MetricText {
  const char *m_Name;
  const char *m_Help;
};

/// In the order of the values of Metric.
constexpr std::array<MetricText, CounterCount> CounterTexts{{
    {"jobs_accepted", "Jobs admitted."},
    {"jobs_succeeded", "Jobs that succeeded."},
    {"jobs_refused", "Jobs that did not run."},
    {"jobs_unknown", "Jobs whose outcome is unknown."},
    {"jobs_failed", "Jobs that ran and failed."},
    {"jobs_forwarded", "Offers of jobs to other entries."},
    {"jobs_refused_by_share", "Jobs refused because their group had been "
                              "served more than its share."},
    {"jobs_admitted_by_share", "Jobs admitted because their group had been "
                               "served less than its share."},
    {"tasks_sent", "Task starts sent to agents."},
    {"tasks_succeeded", "Tasks that succeeded."},
    {"tasks_failed", "Tasks that ran and failed."},
    {"tasks_unknown", "Tasks whose outcome is unknown."},
    {"tasks_refused", "Task starts refused by an agent."},
    {"tasks_replaced", "Tasks placed again after a refusal."},
    {"late_results", "Results that matched no pending task."},
    {"starts_executed", "Tasks started on the backend server."},
    {"starts_refused", "Task starts refused by this agent."},
    {"credits_granted", "Credits granted."},
    {"credits_withdrawn", "Unused credits withdrawn."},
    {"demand_messages", "Demand messages sent."},
    {"heartbeats_sent", "Heartbeats sent."},
    {"messages_sent", "Messages sent to other processes."},
    {"messages_received", "Messages received from other processes."},
    {"messages_resent", "Messages sent again."},
    {"messages_duplicate", "Messages received twice."},
    {"messages_malformed", "Messages that could not be decoded."},
    {"link_connections_closed",
     "Connections to the message port closed because of a limit."},
    {"link_reads_paused",
     "Times at which a connection to the message port was not read because "
     "its messages waited."},
    {"bytes_sent", "Bytes of messages sent to other processes."},
    {"redials", "Connections dialled again."},
    {"workers_ejected", "Workers ejected because of failures."},
    {"store_reads", "Read requests to the platform's service."},
    {"store_writes", "Write requests to the platform's service."},
    {"store_errors", "Requests to the platform's service without an answer."},
    {"orders_unanswered",
     "Orders to the backend server that may have been carried out though no "
     "usable answer came."},
    {"orders_not_sent", "Orders that were never written to a connection."},
    {"order_repeats_prevented",
     "Orders whose connection broke and that were not sent a second time."},
    {"evacuation_changes", "Changes of the evacuated failure domains."},
    {"evacuation_refusals",
     "Tasks returned because their failure domain is evacuated."},
    {"tail_runs",
     "Runs that took several times as long as others on the same server."},
    {"runs_moved", "Runs stopped because their server leaves before they end."},
    {"flapping_returns",
     "Returns of the backend server after repeated losses."},
    {"runs_passed_over",
     "Waiting runs that a run placed later started before."},
    {"reservations_made",
     "Reservations of resources for runs that did not fit."},
    {"reservations_lapsed",
     "Reservations that kept too much free and were given up."},
    {"backfilled_starts", "Runs started beside or before a reservation."},
    {"settings_reloads", "Accepted reloads of the settings file."},
    {"settings_rejected", "Reads of a settings file that is not valid."},
    {"headers_too_large", "Requests refused because of their header's size."},
    {"bodies_too_large", "Requests refused because of their body's size."},
    {"requests_too_slow",
     "Requests refused because their header, body or the reading of their "
     "response took too long."},
    {"requests_shed", "Requests refused because memory was used up."},
    {"connections_refused", "Connections refused because of their number."},
    {"connections_shed", "Connections closed to make room for others."},
    {"connections_idle", "Connections closed after the idle timeout."},
    {"answers_dropped", "Answers replaced because memory was used up."},
}};

constexpr std::size_t LatencyCount = static_cast<std::size_t>(Timing::Count);

/// In the order of the values of Timing.
constexpr std::array<MetricText, LatencyCount> LatencyTexts{{
    {"batch_job_seconds",
     "Time from the submission of a batch job to its answer."},
    {"task_wait_seconds", "Time from the placement of a task to its start."},
    {"start_order_seconds",
     "Time from a start order to the backend server's reply."},
}};

/// Upper bounds of the histogram buckets, in seconds.
const prometheus::Histogram::BucketBoundaries LatencyBucketBounds{
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5};

} // namespace

std::string metricName(Metric Counter) {
  const MetricText &Text = CounterTexts.at(static_cast<std::size_t>(Counter));
  return std::string("cyclamenwalk_") + Text.m_Name + "_total";
}

class MetricsRegistry::Impl {
public:
  Impl(const std::string &Process, const std::string &FailureDomain)
      : m_Labels{{"process", Process}, {"failure_domain", FailureDomain}} {
    for (std::size_t I = 0; I < CounterCount; ++I)
      m_Counters[I] = &prometheus::BuildCounter()
                           .Name(metricName(static_cast<Metric>(I)))
                           .Help(CounterTexts[I].m_Help)
                           .Labels(m_Labels)
                           .Register(m_Registry)
                           .Add({});
    for (std::size_t I = 0; I < LatencyCount; ++I)
      m_Histograms[I] =
          &prometheus::BuildHistogram()
               .Name(std::string("cyclamenwalk_") + LatencyTexts[I].m_Name)
               .Help(LatencyTexts[I].m_Help)
               .Labels(m_Labels)
               .Register(m_Registry)
               .Add({}, LatencyBucketBounds);
  }

  void observe(Timing Latency, Duration Elapsed) {
    m_Histograms[static_cast<std::size_t>(Latency)]->Observe(
        std::chrono::duration<double>(Elapsed).count());
  }

  void addGauge(const std::string &Name, const std::string &Help,
                std::function<double()> ReadValue) {
    auto &Gauge = prometheus::BuildGauge()
                      .Name("cyclamenwalk_" + Name)
                      .Help(Help)
                      .Labels(m_Labels)
                      .Register(m_Registry)
                      .Add({});
    m_Gauges.push_back({&Gauge, std::move(ReadValue)});
  }

  std::string render() {
    for (const auto &Source : m_Gauges)
      Source.m_Gauge->Set(Source.m_ReadValue());
    return prometheus::TextSerializer().Serialize(m_Registry.Collect());
  }

  void count(Metric Counter, std::uint64_t Amount) {
    m_Counters[static_cast<std::size_t>(Counter)]->Increment(
        static_cast<double>(Amount));
  }

private:
  struct GaugeSource {
    prometheus::Gauge *m_Gauge;
    std::function<double()> m_ReadValue;
  };

  const prometheus::Labels m_Labels;
  prometheus::Registry m_Registry;
  std::array<prometheus::Counter *, CounterCount> m_Counters{};
  std::array<prometheus::Histogram *, LatencyCount> m_Histograms{};
  std::vector<GaugeSource> m_Gauges;
};

MetricsRegistry::MetricsRegistry(const std::string &Process,
                                 const std::string &FailureDomain)
    : m_Impl(std::make_unique<Impl>(Process, FailureDomain)) {}
MetricsRegistry::~MetricsRegistry() = default;

void MetricsRegistry::count(Metric Counter, std::uint64_t Amount) {
  m_Impl->count(Counter, Amount);
}

void MetricsRegistry::observe(Timing Latency, Duration Elapsed) {
  m_Impl->observe(Latency, Elapsed);
}

void MetricsRegistry::addGauge(const std::string &Name, const std::string &Help,
                               std::function<double()> ReadValue) {
  m_Impl->addGauge(Name, Help, std::move(ReadValue));
}

std::string MetricsRegistry::render() const { return m_Impl->render(); }

} // namespace cyclamenwalk
