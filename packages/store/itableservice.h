#ifndef CYCLAMENWALK_STORE_ITABLESERVICE_H
#define CYCLAMENWALK_STORE_ITABLESERVICE_H

#include "store/types/table.h"

#include <functional>

namespace cyclamenwalk {

/// The platform's transactional table service. Called on the control thread, on
/// which the callbacks run as well.
class ITableService {
public:
  virtual ~ITableService() = default;

  virtual void transact(Transaction Changes,
                        std::function<void(TransactionResult)> Done) = 0;

  virtual void read(RowKey Key, std::function<void(ReadResult)> Done) = 0;

  /// All rows of \p Table whose keys start with \p Prefix.
  virtual void scan(std::string Table, std::string Prefix,
                    std::function<void(ScanResult)> Done) = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_STORE_ITABLESERVICE_H
