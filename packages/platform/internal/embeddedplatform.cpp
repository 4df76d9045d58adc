#include "platform/internal/embeddedplatform.h"

namespace cyclamenwalk {

EmbeddedPlatform::EmbeddedPlatform(ITimerService &Timers) : m_Timers(Timers) {}

template <typename Result>
void EmbeddedPlatform::answer(std::function<void(Result)> Done, Result Value) {
  // Never from within the call, as with a remote service.
  m_Timers.subscribe(
      Duration::zero(),
      [Done = std::move(Done), Value = std::move(Value)] { Done(Value); });
}

void EmbeddedPlatform::transact(Transaction Changes,
                                std::function<void(TransactionResult)> Done) {
  answer(std::move(Done), m_Store.transact(Changes));
}

void EmbeddedPlatform::read(RowKey Key, std::function<void(ReadResult)> Done) {
  answer(std::move(Done), m_Store.read(Key));
}

void EmbeddedPlatform::scan(std::string Table, std::string Prefix,
                            std::function<void(ScanResult)> Done) {
  answer(std::move(Done), m_Store.scan(Table, Prefix));
}

void EmbeddedPlatform::put(std::string Name, std::string Bytes,
                           std::function<void(StoreStatus)> Done) {
  m_Store.put(Name, std::move(Bytes));
  answer(std::move(Done), StoreStatus::Ok);
}

void EmbeddedPlatform::get(std::string Name,
                           std::function<void(ObjectResult)> Done) {
  answer(std::move(Done), m_Store.get(Name));
}

} // namespace cyclamenwalk
