#include "controller/controller.hpp"

#include "call_server.hpp"
#include "core.hpp"
#include "runtime/lifecycle.hpp"
#include "runtime/log_ring.hpp"

namespace zc {
int runController(const Settings& s) {
  EventLoop loop;
  Core core(s);
  if (auto r = core.start(); !r) {
    ring::say("controller: " + r.error().text);
    return 1;
  }
  auto ep = parseEndpoint(s.controlAddr);
  if (!ep) {
    ring::say("controller: controlPort: " + ep.error().text);
    return 1;
  }
  CallServer calls(core, "http://" + s.controlAddr);
  auto listener = openListener(*ep, [&calls](tcp::socket sock) {
    auto held = std::make_shared<tcp::socket>(std::move(sock));
    EventLoop::get().launch([&calls, held] { calls.serve(std::move(*held)); });
  });
  if (!listener) {
    ring::say("controller: " + listener.error().text);
    return 1;
  }
  // Once the others can do without this machine: what was taken is answered, and nothing more is taken.
  const auto endCalls = [&](bool timeIsUp) {
    listener->close();
    calls.stopTakingCalls();
    if (timeIsUp || calls.inFlight() == 0)
      loop.stop();
  };
  watchLifecycle(settingsPath(), {[&] { core.leave(endCalls); },
                                  [&] {
                                    if (auto n = loadSettings(settingsPath()))
                                      core.reread(*n);
                                    else
                                      ring::alarm(n.error().text);
                                  }});
  loop.run();
  return 0;
}
}  // namespace zc
