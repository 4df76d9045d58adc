#ifndef CYCLAMENWALK_STORE_ISTORE_H
#define CYCLAMENWALK_STORE_ISTORE_H

#include "store/iobjectstore.h"
#include "store/itableservice.h"

namespace cyclamenwalk {

/// The platform's store: tables and objects.
class IStore : public ITableService, public IObjectStore {};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_STORE_ISTORE_H
