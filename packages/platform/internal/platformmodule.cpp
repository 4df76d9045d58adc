#include "platform/platformmodule.h"

#include "platform/internal/embeddedplatform.h"
#include "platform/internal/remoteplatform.h"

namespace cyclamenwalk {

class PlatformModule::Impl {
public:
  virtual ~Impl() = default;
  virtual ITableService &tables() = 0;
  virtual IObjectStore &objects() = 0;
};

class PlatformModule::Embedded final : public PlatformModule::Impl {
public:
  explicit Embedded(ITimerService &Timers) : m_Platform(Timers) {}
  ITableService &tables() override { return m_Platform; }
  IObjectStore &objects() override { return m_Platform; }

private:
  EmbeddedPlatform m_Platform;
};

class PlatformModule::Remote final : public PlatformModule::Impl {
public:
  Remote(const PlatformSettings &Settings, IControlQueue &Control,
         IMetrics &Metrics)
      : m_Client(Threads, Control),
        m_Platform(Settings, m_Client.client(), Metrics) {}
  ITableService &tables() override { return m_Platform; }
  IObjectStore &objects() override { return m_Platform; }

private:
  static constexpr std::size_t Threads = 4;

  HttpClientModule m_Client;
  RemotePlatform m_Platform;
};

PlatformModule::PlatformModule(const PlatformSettings &Settings,
                               IControlQueue &Control, ITimerService &Timers,
                               IMetrics &Metrics) {
  if (Settings.m_Address.empty())
    m_Impl = std::make_unique<Embedded>(Timers);
  else
    m_Impl = std::make_unique<Remote>(Settings, Control, Metrics);
}
PlatformModule::~PlatformModule() = default;

ITableService &PlatformModule::tables() { return m_Impl->tables(); }
IObjectStore &PlatformModule::objects() { return m_Impl->objects(); }

} // namespace cyclamenwalk
