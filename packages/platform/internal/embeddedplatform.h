#ifndef CYCLAMENWALK_PLATFORM_INTERNAL_EMBEDDEDPLATFORM_H
#define CYCLAMENWALK_PLATFORM_INTERNAL_EMBEDDEDPLATFORM_H

#include "core/itimerservice.h"
#include "platform/iobjectstore.h"
#include "platform/itableservice.h"
#include "platform/memorystore.h"

namespace cyclamenwalk {

/// A platform inside the process, for a single entry without one.
class EmbeddedPlatform final : public ITableService, public IObjectStore {
public:
  explicit EmbeddedPlatform(ITimerService &Timers);

  void transact(Transaction Changes,
                std::function<void(TransactionResult)> Done) override;
  void read(RowKey Key, std::function<void(ReadResult)> Done) override;
  void scan(std::string Table, std::string Prefix,
            std::function<void(ScanResult)> Done) override;
  void put(std::string Name, std::string Bytes,
           std::function<void(StoreStatus)> Done) override;
  void get(std::string Name, std::function<void(ObjectResult)> Done) override;

private:
  template <typename Result>
  void answer(std::function<void(Result)> Done, Result Value);

  ITimerService &m_Timers;
  MemoryStore m_Store;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_PLATFORM_INTERNAL_EMBEDDEDPLATFORM_H
