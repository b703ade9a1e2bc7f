#include "controller/controller.hpp"

#include "calls.hpp"
#include "core.hpp"
#include "proxy/http.hpp"
#include "runtime/lifecycle.hpp"
#include "runtime/log_ring.hpp"

namespace zinccleat::controller {
namespace {
constexpr std::size_t kMaxBody = 16U << 20;
constexpr std::string_view kJson = "application/json";

ApiRequest requestOf(const proxy::RequestParser::value_type& r) {
  auto head = [&](const char* name) {
    const auto value = r[name];
    return std::string(value.data(), value.size());
  };
  return {std::string(r.method_string()), std::string(r.target()), r.body(), head("X-Base-Version"),
          head("X-Hint-Seal")};
}
void serve(Core& core, tcp::socket s, const std::string& uri) {
  runtime::Connection w(std::move(s));
  runtime::tune(w.socket());
  proxy::Buffer buf;
  proxy::ReadLimits limits;
  limits.body = kMaxBody;
  for (;;) {
    proxy::RequestParser p;
    const auto r = proxy::readRequest(w, buf, p, limits);
    if (r.end == proxy::ReadEnd::closed)
      return;
    runtime::SocketError ec;
    if (r.end == proxy::ReadEnd::errorResponse) {
      w.write(asio::buffer(proxy::plainAnswer(r.status, "", kJson, proxy::jsonError(proxy::reasonOf(r.status)), false)),
              ec);
      return;
    }
    const auto response = answerCall(core, requestOf(p.get()), uri);
    const bool keep = p.get().keep_alive();
    w.setDeadline(Clock::now() + 5s);
    w.write(asio::buffer(proxy::plainAnswer(response.status, response.heads, kJson, response.body, keep)), ec);
    w.clearDeadline();
    if (ec || !keep)
      return;
  }
}
}  // namespace

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
  const auto uri = "http://" + s.controlAddress;
  auto ok = transport::listen(*ep, [&core, uri](tcp::socket sock) {
    auto held = std::make_shared<tcp::socket>(std::move(sock));
    runtime::EventLoop::get().spawn([&core, held, uri] { serve(core, std::move(*held), uri); });
  });
  if (!ok) {
    log::info("controller: " + ok.error().message);
    return 1;
  }
  runtime::watchLifecycle(config::settingsPath(), {[&] { core.leave([&] { loop.stop(); }); },
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
