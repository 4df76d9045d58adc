#include "store/internal/embeddedstore.h"

namespace cyclamenwalk {

EmbeddedStore::EmbeddedStore(ITimerService &Timers) : m_Timers(Timers) {}

template <typename Result>
void EmbeddedStore::answer(std::function<void(Result)> Done, Result Value) {
  // Deferred, so that callbacks never run within the call, as with a remote
  // store.
  m_Timers.subscribe(
      Duration::zero(),
      [Done = std::move(Done), Value = std::move(Value)] { Done(Value); });
}

void EmbeddedStore::transact(Transaction Changes,
                             std::function<void(TransactionResult)> Done) {
  answer(std::move(Done), m_Store.transact(Changes));
}

void EmbeddedStore::read(RowKey Key, std::function<void(ReadResult)> Done) {
  answer(std::move(Done), m_Store.read(Key));
}

void EmbeddedStore::scan(std::string Table, std::string Prefix,
                         std::function<void(ScanResult)> Done) {
  answer(std::move(Done), m_Store.scan(Table, Prefix));
}

void EmbeddedStore::put(std::string Name, std::string Bytes,
                        std::function<void(StoreStatus)> Done) {
  m_Store.put(Name, std::move(Bytes));
  answer(std::move(Done), StoreStatus::Ok);
}

void EmbeddedStore::get(std::string Name,
                        std::function<void(ObjectResult)> Done) {
  answer(std::move(Done), m_Store.get(Name));
}

} // namespace cyclamenwalk
