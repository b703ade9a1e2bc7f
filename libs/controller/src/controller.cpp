#include "controller/controller.hpp"

#include "calls.hpp"
#include "core.hpp"
#include "proxy/http.hpp"
#include "runtime/lifecycle.hpp"
#include "runtime/log_ring.hpp"

namespace zc {
namespace {
constexpr std::size_t kMaxBody = 16U << 20;
constexpr std::string_view kJson = "application/json";

ApiRequest requestOf(const RequestParser::value_type& r) {
  auto head = [&](const char* name) {
    const auto value = r[name];
    return std::string(value.data(), value.size());
  };
  return {std::string(r.method_string()), std::string(r.target()), r.body(), head("X-Base-Version"),
          head("X-Hint-Seal")};
}
void serve(Core& core, tcp::socket s, const std::string& uri) {
  Connection w(std::move(s));
  tune(w.sock());
  Buffer buf;
  ReadLimits limits;
  limits.body = kMaxBody;
  for (;;) {
    RequestParser p;
    const auto r = readRequest(w, buf, p, limits);
    if (r.end == ReadEnd::closed)
      return;
    Ec ec;
    if (r.end == ReadEnd::errorResponse) {
      w.write(asio::buffer(plainAnswer(r.status, "", kJson, jsonError(reasonOf(r.status)), false)), ec);
      return;
    }
    const auto response = answerCall(core, requestOf(p.get()), uri);
    const bool keep = p.get().keep_alive();
    w.due(Clock::now() + 5s);
    w.write(asio::buffer(plainAnswer(response.status, response.heads, kJson, response.body, keep)), ec);
    w.undue();
    if (ec || !keep)
      return;
  }
}
}  // namespace

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
  const auto uri = "http://" + s.controlAddr;
  auto ok = listen(*ep, [&core, uri](tcp::socket sock) {
    auto held = std::make_shared<tcp::socket>(std::move(sock));
    EventLoop::get().launch([&core, held, uri] { serve(core, std::move(*held), uri); });
  });
  if (!ok) {
    ring::say("controller: " + ok.error().text);
    return 1;
  }
  watchLifecycle(settingsPath(), {[&] { core.leave([&] { loop.stop(); }); },
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
