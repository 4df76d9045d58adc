#ifndef CYCLAMENWALK_STORE_INTERNAL_EMBEDDEDSTORE_H
#define CYCLAMENWALK_STORE_INTERNAL_EMBEDDEDSTORE_H

#include "core/itimerservice.h"
#include "store/istore.h"
#include "store/memorystore.h"

namespace cyclamenwalk {

/// An in-process store, for a single entry without a platform store.
class EmbeddedStore final : public IStore {
public:
  explicit EmbeddedStore(ITimerService &Timers);

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

#endif // CYCLAMENWALK_STORE_INTERNAL_EMBEDDEDSTORE_H
