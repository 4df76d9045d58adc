#include "store/memorystore.h"

#include <map>

namespace cyclamenwalk {

class MemoryStore::Impl {
public:
  bool isMet(const RowCondition &Condition) const {
    auto It = m_Rows.find(Condition.m_Row);
    if (It == m_Rows.end())
      return !Condition.m_Version.has_value();
    return Condition.m_Version == It->second.m_Version;
  }

  void write(const RowWrite &Write) {
    if (!Write.m_Value) {
      m_Rows.erase(Write.m_Row);
      return;
    }
    // One counter for all rows, so that a row that is deleted and inserted
    // again never gets a version it had before.
    m_Rows[Write.m_Row] = Row{*Write.m_Value, ++m_LastVersion};
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
    if (!m_Impl->isMet(Condition))
      Result.m_Conflicts.push_back(Condition.m_Row);
  if (!Result.m_Conflicts.empty()) {
    Result.m_Status = StoreStatus::Conflict;
    return Result;
  }
  for (const RowWrite &Write : Changes.m_Writes)
    m_Impl->write(Write);
  return Result;
}

ReadResult MemoryStore::read(const RowKey &Key) const {
  ReadResult Result;
  auto It = m_Impl->m_Rows.find(Key);
  if (It != m_Impl->m_Rows.end())
    Result.m_Row = It->second;
  return Result;
}

ScanResult MemoryStore::scan(const std::string &Table,
                             const std::string &Prefix) const {
  ScanResult Result;
  auto It = m_Impl->m_Rows.lower_bound(RowKey{Table, Prefix});
  for (; It != m_Impl->m_Rows.end(); ++It) {
    const RowKey &Key = It->first;
    if (Key.m_Table != Table || Key.m_Key.rfind(Prefix, 0) != 0)
      break;
    Result.m_Rows.push_back({Key.m_Key, It->second});
  }
  return Result;
}

void MemoryStore::put(const std::string &Name, std::string Bytes) {
  m_Impl->m_Objects[Name] = std::move(Bytes);
}

ObjectResult MemoryStore::get(const std::string &Name) const {
  ObjectResult Result;
  auto It = m_Impl->m_Objects.find(Name);
  if (It != m_Impl->m_Objects.end())
    Result.m_Bytes = It->second;
  return Result;
}

} // namespace cyclamenwalk
