#include "controller/controller.hpp"

#include "call_server.hpp"
#include "core.hpp"
#include "runtime/lifecycle.hpp"
#include "runtime/log_ring.hpp"
#include "transport/listener.hpp"

namespace zinccleat::controller {
int runController(const config::Settings& s) {
  runtime::EventLoop loop;
  Core core(s);
  if (auto r = core.start(); !r) {
    log::info("controller: " + r.error().message);
    return 1;
  }
  auto ep = runtime::parseEndpoint(s.controlAddress);
  if (!ep) {
    log::info("controller: controlPort: " + ep.error().message);
    return 1;
  }
  CallServer calls(core, "http://" + s.controlAddress);
  auto listener = transport::openListener(*ep, [&calls](tcp::socket sock) {
    auto held = std::make_shared<tcp::socket>(std::move(sock));
    runtime::EventLoop::get().spawn([&calls, held] { calls.serve(std::move(*held)); });
  });
  if (!listener) {
    log::info("controller: " + listener.error().message);
    return 1;
  }
  // Once the others can do without this machine: what was taken is answered, and nothing more is taken.
  const auto endCalls = [&](bool timeIsUp) {
    listener->close();
    calls.stopTakingCalls();
    if (timeIsUp || calls.inFlight() == 0)
      loop.stop();
  };
  runtime::watchLifecycle(config::settingsPath(), {[&] { core.leave(endCalls); },
                                                   [&] {
                                                     if (auto n = config::loadSettings(config::settingsPath()))
                                                       core.reread(*n);
                                                     else
                                                       log::error(n.error().message);
                                                   }});
  loop.run();
  return 0;
}
}  // namespace zinccleat::controller
