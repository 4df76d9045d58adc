#include "cli/cliprogram.h"
#include "platform/stores.h"

int main(int ArgumentCount, char **Arguments) {
  return static_cast<int>(
      cyclamenwalk::runAgentCli({Arguments + 1, Arguments + ArgumentCount},
                                cyclamenwalk::makePlatformStore));
}
