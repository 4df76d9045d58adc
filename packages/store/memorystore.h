#ifndef CYCLAMENWALK_STORE_MEMORYSTORE_H
#define CYCLAMENWALK_STORE_MEMORYSTORE_H

#include "store/types/table.h"

#include <memory>

namespace cyclamenwalk {

/// Tables and objects in memory, with the semantics of the platform's store.
/// Not thread-safe.
class MemoryStore {
public:
  MemoryStore();
  ~MemoryStore();

  TransactionResult transact(const Transaction &Changes);
  ReadResult read(const RowKey &Key) const;
  ScanResult scan(const std::string &Table, const std::string &Prefix) const;
  void put(const std::string &Name, std::string Bytes);
  ObjectResult get(const std::string &Name) const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_STORE_MEMORYSTORE_H
