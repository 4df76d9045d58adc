#include "core/controlloop.h"
#include "platform/platformstandin.h"
#include "process/signalwatch.h"

#include <iostream>

using namespace cyclamenwalk;

int main(int ArgumentCount, char **Arguments) {
  if (ArgumentCount != 2) {
    std::cerr << "usage: standin-platform IP:PORT\n";
    return 2;
  }
  SignalWatch Signals;
  ControlLoop Loop;
  HttpServer Server({Arguments[1], 64 * 1024 * 1024});
  PlatformStandin Standin(Server);
  Server.start();
  Signals.start([&Loop] { Loop.stop(); });
  Loop.run();
  Server.stop(seconds(1));
  return 0;
}
