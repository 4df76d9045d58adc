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

constexpr std::size_t MetricCount = static_cast<std::size_t>(Metric::Count);

struct MetricText {
  const char *m_Name;
  const char *m_Help;
};

/// In the order of the enumeration.
constexpr std::array<MetricText, MetricCount> Texts{{
    {"jobs_accepted", "Jobs admitted."},
    {"jobs_succeeded", "Jobs answered completely."},
    {"jobs_refused", "Jobs that did not run."},
    {"jobs_unknown", "Jobs whose outcome is unknown."},
    {"jobs_failed", "Jobs that ran and failed."},
    {"tasks_sent", "Starts sent to agents."},
    {"tasks_succeeded", "Tasks that ended well."},
    {"tasks_failed", "Tasks that ran and failed."},
    {"tasks_unknown", "Tasks whose outcome is unknown."},
    {"tasks_refused", "Starts that an agent refused."},
    {"tasks_replaced", "Tasks placed again after a refusal."},
    {"late_results", "Results that matched no waiting task."},
    {"starts_executed", "Tasks started on the backend server."},
    {"starts_refused", "Starts refused by this agent."},
    {"credits_granted", "Credits granted."},
    {"credits_withdrawn", "Credits withdrawn unused."},
    {"demand_messages", "Demand messages sent."},
    {"heartbeats_sent", "Heartbeats sent."},
    {"messages_sent", "Messages sent to other processes."},
    {"messages_received", "Messages received from other processes."},
    {"messages_resent", "Messages sent again."},
    {"messages_duplicate", "Messages received twice."},
    {"messages_malformed", "Messages that could not be decoded."},
    {"bytes_sent", "Bytes of messages sent to other processes."},
    {"redials", "Connections replaced."},
    {"workers_ejected", "Workers taken out because of failures."},
    {"store_reads", "Reads of the platform's service."},
    {"store_writes", "Writes to the platform's service."},
    {"store_errors", "Calls of the platform's service without answer."},
}};

constexpr std::size_t TimingCount = static_cast<std::size_t>(Timing::Count);

/// In the order of the enumeration.
constexpr std::array<MetricText, TimingCount> TimingTexts{{
    {"batch_job_seconds", "From the submission of a batch job to its answer."},
    {"task_wait_seconds", "From the placement of a task to its start."},
    {"start_order_seconds", "From a start order to the server's reply."},
}};

/// Upper bounds of the buckets of latencies, in seconds.
const prometheus::Histogram::BucketBoundaries LatencyBounds{
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5};

} // namespace

std::string metricName(Metric What) {
  const MetricText &Text = Texts.at(static_cast<std::size_t>(What));
  return std::string("cyclamenwalk_") + Text.m_Name + "_total";
}

class MetricsRegistry::Impl {
public:
  Impl(const std::string &Process, const std::string &Domain)
      : m_Labels{{"process", Process}, {"failure_domain", Domain}} {
    for (std::size_t I = 0; I < MetricCount; ++I)
      m_Counters[I] = &prometheus::BuildCounter()
                           .Name(metricName(static_cast<Metric>(I)))
                           .Help(Texts[I].m_Help)
                           .Labels(m_Labels)
                           .Register(m_Registry)
                           .Add({});
    for (std::size_t I = 0; I < TimingCount; ++I)
      m_Histograms[I] =
          &prometheus::BuildHistogram()
               .Name(std::string("cyclamenwalk_") + TimingTexts[I].m_Name)
               .Help(TimingTexts[I].m_Help)
               .Labels(m_Labels)
               .Register(m_Registry)
               .Add({}, LatencyBounds);
  }

  void observe(Timing What, Duration Taken) {
    m_Histograms[static_cast<std::size_t>(What)]->Observe(
        std::chrono::duration<double>(Taken).count());
  }

  void addGauge(const std::string &Name, const std::string &Help,
                std::function<double()> Value) {
    auto &Added = prometheus::BuildGauge()
                      .Name("cyclamenwalk_" + Name)
                      .Help(Help)
                      .Labels(m_Labels)
                      .Register(m_Registry)
                      .Add({});
    m_Gauges.push_back({&Added, std::move(Value)});
  }

  std::string render() {
    for (const auto &Known : m_Gauges)
      Known.m_Gauge->Set(Known.m_Value());
    return prometheus::TextSerializer().Serialize(m_Registry.Collect());
  }

  void count(Metric What, std::uint64_t Amount) {
    m_Counters[static_cast<std::size_t>(What)]->Increment(
        static_cast<double>(Amount));
  }

private:
  struct GaugeSource {
    prometheus::Gauge *m_Gauge;
    std::function<double()> m_Value;
  };

  const prometheus::Labels m_Labels;
  prometheus::Registry m_Registry;
  std::array<prometheus::Counter *, MetricCount> m_Counters{};
  std::array<prometheus::Histogram *, TimingCount> m_Histograms{};
  std::vector<GaugeSource> m_Gauges;
};

MetricsRegistry::MetricsRegistry(const std::string &Process,
                                 const std::string &Domain)
    : m_Impl(std::make_unique<Impl>(Process, Domain)) {}
MetricsRegistry::~MetricsRegistry() = default;

void MetricsRegistry::count(Metric What, std::uint64_t Amount) {
  m_Impl->count(What, Amount);
}

void MetricsRegistry::observe(Timing What, Duration Taken) {
  m_Impl->observe(What, Taken);
}

void MetricsRegistry::addGauge(const std::string &Name, const std::string &Help,
                               std::function<double()> Value) {
  m_Impl->addGauge(Name, Help, std::move(Value));
}

std::string MetricsRegistry::render() const { return m_Impl->render(); }

} // namespace cyclamenwalk
