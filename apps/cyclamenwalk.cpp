#include "cli/cliprogram.h"
#include "platform/stores.h"

int main(int ArgumentCount, char **Arguments) {
  return static_cast<int>(
      cyclamenwalk::runCli({Arguments + 1, Arguments + ArgumentCount},
                           cyclamenwalk::makePlatformStore));
}
