#ifndef CYCLAMENWALK_STORE_IOBJECTSTORE_H
#define CYCLAMENWALK_STORE_IOBJECTSTORE_H

#include "store/types/table.h"

#include <functional>
#include <string>

namespace cyclamenwalk {

/// The platform's object store. Called on the control thread, on which the
/// callbacks run as well.
class IObjectStore {
public:
  virtual ~IObjectStore() = default;

  virtual void put(std::string Name, std::string Bytes,
                   std::function<void(StoreStatus)> Done) = 0;

  virtual void get(std::string Name,
                   std::function<void(ObjectResult)> Done) = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_STORE_IOBJECTSTORE_H
