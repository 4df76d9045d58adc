#include "cli/cliprogram.h"
#include "platform/stores.h"

int main(int Count, char **Arguments) {
  return static_cast<int>(cyclamenwalk::runAgentCli(
      {Arguments + 1, Arguments + Count}, cyclamenwalk::makePlatformStore));
}
