#include "metrics/metricsregistry.h"

#include <gmock/gmock.h>
#include <set>

using namespace cyclamenwalk;

TEST(Metrics, rendersCountersAndGaugesWithLabels) {
  MetricsRegistry Registry("entry-1", "cornelian");
  Registry.count(Metric::TasksSent, 3);
  Registry.addGauge("waiting_tasks", "Tasks that are waiting.",
                    [] { return 2.0; });
  std::string Text = Registry.render();
  EXPECT_THAT(Text, testing::HasSubstr("cyclamenwalk_tasks_sent_total{"));
  EXPECT_THAT(Text, testing::HasSubstr("process=\"entry-1\""));
  EXPECT_THAT(Text, testing::ContainsRegex("tasks_sent_total\\{[^}]*\\} 3"));
  EXPECT_THAT(Text, testing::ContainsRegex("waiting_tasks\\{[^}]*\\} 2"));
}

TEST(Metrics, counterNamesAreDistinct) {
  std::set<std::string> Names;
  for (std::size_t I = 0; I < static_cast<std::size_t>(Metric::Count); ++I)
    EXPECT_TRUE(Names.insert(metricName(static_cast<Metric>(I))).second);
}
