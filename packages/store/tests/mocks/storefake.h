#ifndef CYCLAMENWALK_STORE_TESTS_MOCKS_STOREFAKE_H
#define CYCLAMENWALK_STORE_TESTS_MOCKS_STOREFAKE_H

#include "store/iobjectstore.h"
#include "store/itableservice.h"
#include "store/memorystore.h"

#include <deque>

namespace cyclamenwalk {

/// A store that answers calls only when the test asks for it, with the faults
/// that the test sets.
class StoreFake final : public ITableService, public IObjectStore {
public:
  enum class Fault { None, Down, ReplyLost };

  void transact(Transaction Changes,
                std::function<void(TransactionResult)> Done) override {
    enqueue([this, Changes, Done] {
      if (m_Fault == Fault::Down)
        return Done({StoreStatus::Unavailable, {}});
      TransactionResult Result = m_Store.transact(Changes);
      if (m_Fault == Fault::ReplyLost)
        Result = {StoreStatus::Unavailable, {}};
      Done(Result);
    });
  }

  void read(RowKey Key, std::function<void(ReadResult)> Done) override {
    enqueue([this, Key, Done] {
      Done(m_Fault == Fault::Down
               ? ReadResult{StoreStatus::Unavailable, std::nullopt}
               : m_Store.read(Key));
    });
  }

  void scan(std::string Table, std::string Prefix,
            std::function<void(ScanResult)> Done) override {
    enqueue([this, Table, Prefix, Done] {
      Done(m_Fault == Fault::Down ? ScanResult{StoreStatus::Unavailable, {}}
                                  : m_Store.scan(Table, Prefix));
    });
  }

  void put(std::string Name, std::string Bytes,
           std::function<void(StoreStatus)> Done) override {
    enqueue([this, Name, Bytes, Done] {
      if (m_Fault == Fault::Down)
        return Done(StoreStatus::Unavailable);
      m_Store.put(Name, Bytes);
      Done(StoreStatus::Ok);
    });
  }

  void get(std::string Name, std::function<void(ObjectResult)> Done) override {
    enqueue([this, Name, Done] {
      Done(m_Fault == Fault::Down
               ? ObjectResult{StoreStatus::Unavailable, std::nullopt}
               : m_Store.get(Name));
    });
  }

  /// Answers the pending calls, and the calls that their callbacks make.
  void answerAll() {
    while (answerOne()) {
    }
  }

  bool answerOne() {
    if (m_Calls.empty())
      return false;
    auto Call = std::move(m_Calls.front());
    m_Calls.pop_front();
    Call();
    return true;
  }

  std::size_t pending() const { return m_Calls.size(); }
  std::size_t calls() const { return m_CallCount; }

  Fault m_Fault = Fault::None;
  MemoryStore m_Store;

private:
  void enqueue(std::function<void()> Call) {
    ++m_CallCount;
    m_Calls.push_back(std::move(Call));
  }

  std::deque<std::function<void()>> m_Calls;
  std::size_t m_CallCount = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_STORE_TESTS_MOCKS_STOREFAKE_H
