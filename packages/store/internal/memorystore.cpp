#include "store/memorystore.h"

#include <map>

namespace cyclamenwalk {

class MemoryStore::Impl {
public:
  bool holds(const RowCondition &Condition) const {
    auto Found = m_Rows.find(Condition.m_Row);
    if (Found == m_Rows.end())
      return !Condition.m_Version.has_value();
    return Condition.m_Version == Found->second.m_Version;
  }

  void write(const RowWrite &Change) {
    if (!Change.m_Value) {
      m_Rows.erase(Change.m_Row);
      return;
    }
    // One counter for all rows, so that a row that is deleted and written
    // again never gets an old version.
    m_Rows[Change.m_Row] = Row{*Change.m_Value, ++m_LastVersion};
  }

  std::map<RowKey, Row> m_Rows;
  std::map<std::string, std::string> m_Objects;
  std::uint64_t m_LastVersion = 0;
};

MemoryStore::MemoryStore() : m_Impl(std::make_unique<Impl>()) {}
MemoryStore::~MemoryStore() = default;

TransactionResult MemoryStore::transact(const Transaction &Changes) {
  TransactionResult Result;
  for (const RowCondition &Condition : Changes.m_Conditions)
    if (!m_Impl->holds(Condition))
      Result.m_Conflicts.push_back(Condition.m_Row);
  if (!Result.m_Conflicts.empty()) {
    Result.m_Status = StoreStatus::Conflict;
    return Result;
  }
  for (const RowWrite &Change : Changes.m_Writes)
    m_Impl->write(Change);
  return Result;
}

ReadResult MemoryStore::read(const RowKey &Key) const {
  ReadResult Result;
  auto Found = m_Impl->m_Rows.find(Key);
  if (Found != m_Impl->m_Rows.end())
    Result.m_Row = Found->second;
  return Result;
}

ScanResult MemoryStore::scan(const std::string &Table,
                             const std::string &Prefix) const {
  ScanResult Result;
  auto At = m_Impl->m_Rows.lower_bound(RowKey{Table, Prefix});
  for (; At != m_Impl->m_Rows.end(); ++At) {
    const RowKey &Key = At->first;
    if (Key.m_Table != Table || Key.m_Key.rfind(Prefix, 0) != 0)
      break;
    Result.m_Rows.push_back({Key.m_Key, At->second});
  }
  return Result;
}

void MemoryStore::put(const std::string &Name, std::string Bytes) {
  m_Impl->m_Objects[Name] = std::move(Bytes);
}

ObjectResult MemoryStore::get(const std::string &Name) const {
  ObjectResult Result;
  auto Found = m_Impl->m_Objects.find(Name);
  if (Found != m_Impl->m_Objects.end())
    Result.m_Bytes = Found->second;
  return Result;
}

} // namespace cyclamenwalk
