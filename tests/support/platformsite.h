#ifndef CYCLAMENWALK_TESTS_SUPPORT_PLATFORMSITE_H
#define CYCLAMENWALK_TESTS_SUPPORT_PLATFORMSITE_H

#include "http/types/httpmessage.h"
#include "runner/runnerstandin.h"
#include "support/childprocess.h"

#include <memory>
#include <string>

namespace cyclamenwalk {

struct PlatformSiteOptions {
  int m_BasePort = 0;
  /// Appended to the settings file of each process.
  std::string m_Settings;
};

/// One entry and one agent of the platform's program and a store as processes
/// on loopback, with a runner in the test process.
class PlatformSite {
public:
  /// Throws std::runtime_error if the entry isn't ready within 20 s.
  explicit PlatformSite(PlatformSiteOptions Options);
  ~PlatformSite();

  ChildProcess &entry() { return *m_Entry; }
  ChildProcess &agent() { return *m_Agent; }

  int entryPort() const { return m_Options.m_BasePort; }
  int entryMessagePort() const { return m_Options.m_BasePort + 1; }
  int agentPort() const { return m_Options.m_BasePort + 10; }

  /// Submits a job of one short task. May be called on any thread.
  HttpResponse submit(const std::string &Name) const;

private:
  std::unique_ptr<ChildProcess> startProgram(const std::string &Role);
  bool writeConfiguration() const;
  bool isReady() const;

  const PlatformSiteOptions m_Options;
  std::string m_Folder;
  RunOverlapCounter m_Observer;
  std::unique_ptr<ChildProcess> m_Store;
  std::unique_ptr<ChildProcess> m_Entry;
  std::unique_ptr<ChildProcess> m_Agent;
  std::unique_ptr<RunnerStandin> m_Runner;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_TESTS_SUPPORT_PLATFORMSITE_H
