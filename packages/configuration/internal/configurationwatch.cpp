#include "configuration/configurationmodule.h"
#include "configuration/internal/applyservice.h"
#include "configuration/internal/configurationstore.h"
#include "configuration/internal/rows.h"
#include "core/log.h"

namespace cyclamenwalk {

class ConfigurationWatch::Impl
    : public std::enable_shared_from_this<ConfigurationWatch::Impl> {
public:
  Impl(RecordCodec Codec, IConfigurationStore &Store, ITableService &Tables,
       IObjectStore &Objects, ITimerService &Timers)
      : m_Codec(std::move(Codec)), m_Store(Store), m_Tables(Tables),
        m_Objects(Objects), m_Timers(Timers) {}

  ~Impl() { m_Timers.cancel(m_Timer); }

  void start(Duration Period) {
    m_Timer = m_Timers.subscribeEvery(Period, [this] { poll(); });
    poll();
  }

  void poll() {
    std::weak_ptr<Impl> WeakThis = weak_from_this();
    m_Tables.read(headRow(), [WeakThis](const ReadResult &Result) {
      if (auto SharedThis = WeakThis.lock())
        SharedThis->receiveHead(Result);
    });
  }

private:
  void receiveHead(const ReadResult &Result) {
    if (Result.m_Status != StoreStatus::Ok || !Result.m_Row)
      return;
    auto Head = m_Codec.m_Decode(Result.m_Row->m_Value);
    if (!Head || Head->m_Version <= m_Store.version())
      return;
    std::weak_ptr<Impl> WeakThis = weak_from_this();
    m_Objects.get(textObjectName(Head->m_Digest),
                  [WeakThis, Head = *Head](const ObjectResult &Result) {
                    if (auto SharedThis = WeakThis.lock())
                      SharedThis->receiveText(Head, Result);
                  });
  }

  void receiveText(const ConfigurationRecord &Head,
                   const ObjectResult &Result) {
    if (!Result.m_Bytes)
      return;
    if (digestOf(*Result.m_Bytes) != Head.m_Digest) {
      logEvent(LogLevel::Error, "configuration.digest_mismatch",
               {{"version", Head.m_Version}});
      return;
    }
    m_Store.activateIfNewer(Head.m_Version, *Result.m_Bytes);
  }

  const RecordCodec m_Codec;
  IConfigurationStore &m_Store;
  ITableService &m_Tables;
  IObjectStore &m_Objects;
  ITimerService &m_Timers;
  TimerId m_Timer = 0;
};

ConfigurationWatch::ConfigurationWatch(Duration Period, RecordCodec Codec,
                                       IConfigurationStore &Store,
                                       ITableService &Tables,
                                       IObjectStore &Objects,
                                       ITimerService &Timers)
    : m_Impl(std::make_shared<Impl>(std::move(Codec), Store, Tables, Objects,
                                    Timers)) {
  m_Impl->start(Period);
}
ConfigurationWatch::~ConfigurationWatch() = default;

void ConfigurationWatch::poll() { m_Impl->poll(); }

std::unique_ptr<IConfigurationStore>
makeConfigurationStore(ConfigurationParser Parse, const IChartSource &Charts) {
  return std::make_unique<ConfigurationStore>(std::move(Parse), Charts);
}

std::unique_ptr<IApplyService>
makeApplyService(ConfigurationParser Parse, RecordCodec Codec,
                 IConfigurationStore &Store, const IChartSource &Charts,
                 ITableService &Tables, IObjectStore &Objects,
                 ITimerService &Timers) {
  return std::make_unique<ApplyService>(std::move(Parse), std::move(Codec),
                                        Store, Charts, Tables, Objects, Timers);
}

} // namespace cyclamenwalk
