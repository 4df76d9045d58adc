#ifndef CYCLAMENWALK_ENTRY_ENTRYPROGRAM_H
#define CYCLAMENWALK_ENTRY_ENTRYPROGRAM_H

#include "settings/processsettings.h"
#include "store/storemodule.h"

#include <memory>

namespace cyclamenwalk {

/// The entry process, which accepts requests from callers and owns their jobs.
class EntryProgram {
public:
  /// Throws Error when an address is in use or a chart is invalid.
  EntryProgram(const EntrySettings &Settings, const StoreFactory &MakeStore);
  ~EntryProgram();

  /// Serves on the calling thread, which becomes the control thread, until a
  /// signal or an operator has drained the process.
  void run();

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_ENTRY_ENTRYPROGRAM_H
