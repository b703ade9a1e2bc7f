#include "controller/controller.hpp"

#include "core.hpp"
#include "proxy/http.hpp"
#include "runtime/lifecycle.hpp"
#include "runtime/log_ring.hpp"

namespace zc {
namespace {
constexpr auto kBeatWait = 850ms;  // a runner waits a second
constexpr auto kConfigWait = 2500ms;
constexpr std::size_t kMaxBody = 16u << 20;
constexpr std::string_view kJson = "application/json";

struct ApiResponse {
  int status = 200;
  std::string body = "{}";
  std::string heads;
};
ApiResponse errorResponse(int status, std::string_view why) {
  return {status, jsonError(why), status == 503 ? "Retry-After: 0.2\r\n" : ""};
}

ApiResponse onBeat(Core& core, const std::string& id, const std::string& body, const std::string& uri) {
  auto beat = parseBeat(id, body);
  if (!beat)
    return errorResponse(beat.error().code, beat.error().text);
  const auto& copy = core.copy();
  const ApiResponse fine{200, "{\"heartbeatUri\":" + quoteJson(uri) + "}", ""};
  core.beat(id);
  if (copy.isGone(id))
    return fine;
  const auto* known = copy.runner(id);
  Runner r{id,
           beat->service,
           beat->address,
           beat->zone,
           beat->capacity,
           beat->sequence,
           static_cast<std::int32_t>(beat->draining ? RunnerState::draining : RunnerState::inService)};
  const bool same = known && known->address == r.address && known->service == r.service &&
                    known->capacity == r.capacity && known->zone == r.zone;
  // A late beat, or one that tells nothing new, is no write.
  if (known && beat->sequence < known->sequence)
    return fine;
  if (same && (known->state == r.state || known->at() == RunnerState::draining))
    return fine;
  // Why the id names the content: the same news brought to two nodes is one write.
  auto e =
      runnerOp(r, "runner/" + id + "/" + (beat->draining ? "draining" : "in") + "/" + std::to_string(beat->sequence));
  if (!beat->draining) {
    // A join need not be waited for: nobody relies on its acknowledgement.
    EventLoop::get().launch([&core, e] { (void)core.write(e, 3000ms); });
    return fine;
  }
  auto v = core.write(std::move(e), kBeatWait);
  if (!v)
    return errorResponse(503, v.error().text);
  return fine;
}
ApiResponse onDetach(Core& core, const std::string& id) {
  const auto& copy = core.copy();
  if (copy.isGone(id))
    return {};
  Runner r;
  if (const auto* known = copy.runner(id))
    r = *known;
  r.id = id;
  r.state = static_cast<std::int32_t>(RunnerState::gone);
  r.sequence = std::max<std::int64_t>(1, r.sequence);
  auto v = core.write(runnerOp(r, "runner/" + id + "/gone"), kBeatWait);
  if (!v)
    return errorResponse(503, v.error().text);
  return {};
}
ApiResponse onReplace(Core& core, std::string_view baseHead, const std::string& body) {
  auto cfg = parseConfiguration(body);
  if (!cfg)
    return errorResponse(cfg.error().code, cfg.error().text);
  std::int64_t base = 0;
  for (char c : baseHead) {
    if (c < '0' || c > '9' || base > 1'000'000'000'000'000)
      return errorResponse(400, "X-Base-Version is no number");
    base = base * 10 + (c - '0');
  }
  const auto version = (*cfg)->version;
  if (core.copy().judge(base, version, digestOf(body)) == 200)
    return {200, "{\"configVersion\":" + std::to_string(version) + "}", ""};
  auto v = core.write(changeOp(base, version, body, core.opId(), core.copy().state()), kConfigWait);
  if (!v)
    return errorResponse(503, v.error().text);
  if (*v == 200)
    return {200, "{\"configVersion\":" + std::to_string(version) + "}", ""};
  if (*v == ReplicatedState::kNoClearAnswer)
    return errorResponse(503, "too old to tell whether it was taken");
  return errorResponse(*v,
                       *v == 412 ? "another configuration is in place" : "configVersion is not above the current one");
}
ApiResponse onRetrieve(Core& core) {
  if (auto f = core.fresh(900ms); !f)
    return errorResponse(503, f.error().text);
  if (core.copy().state().configuration.empty())
    return errorResponse(404, "no configuration yet");
  return {200, core.copy().state().configuration, ""};
}
// Closing a place: only the leader hears how busy the fleet is, so it alone decides.
ApiResponse onClosure(Core& core, const std::string& path, const std::string* body) {
  if (const auto there = core.leaderControl(); !there.empty())
    return {307, "{}", "Location: http://" + there + path + "\r\n"};
  if (auto f = core.fresh(500ms); !f)
    return errorResponse(503, f.error().text);
  if (!body)
    return {200, core.closuresJson()};
  auto c = parseClosure(*body);
  if (!c)
    return errorResponse(c.error().code, c.error().text);
  const auto& places = core.settings().zones;
  if (std::none_of(places.begin(), places.end(), [&](auto& z) { return z.first == c->place || z.second == c->place; }))
    return errorResponse(400, "no zone or region '" + c->place + "'");
  const auto& old = core.copy().state().closures;
  const auto was = std::find_if(old.begin(), old.end(), [&](auto& x) { return x.place == c->place; });
  const bool further =
      was == old.end() ? c->share > 0 || c->doorsShut : c->share > was->share || (c->doorsShut && !was->doorsShut);
  // A move is kept clear of live play: while the fleet is busier than the operator allows, it goes no further.
  if (further && !c->force && c->calmBelowPerS > 0 && core.perS() > c->calmBelowPerS)
    return errorResponse(409, "live play: " + std::to_string(static_cast<int>(core.perS())) + " requests a second");
  if (c->doorsShut && c->share < 100)
    return errorResponse(400, "doors are shut only once all new work keeps away (share 100)");
  auto v = core.write(closureOp(Closure{c->place, c->note, c->share, c->doorsShut}, c->open, core.opId()), 2000ms);
  if (!v)
    return errorResponse(503, v.error().text);
  return {200, core.closuresJson(), ""};
}
// Hints from the partner site go to the leader: it alone hears what all nodes send.
ApiResponse onHints(Core& core, std::string_view path, const std::string& body, std::string_view seal) {
  if (const auto there = core.leaderControl(); !there.empty())
    return {307, "{}", "Location: http://" + there + std::string(path) + "\r\n"};
  auto r = core.hintsFrom(body, seal);
  if (!r)
    return errorResponse(r.error().code, r.error().text);
  return {200, *r};
}
// One function a call, read top to bottom.
ApiResponse answer(Core& core, const RequestParser::value_type& req, const std::string& uri) {
  constexpr std::string_view beat = "/v1/Instances.Heartbeat/", detach = "/v1/Instances.Detach/";
  const std::string_view full(req.target().data(), req.target().size());
  const auto path = full.substr(0, full.find('?'));
  const bool post = req.method() == http::verb::post, get = req.method() == http::verb::get;
  if (path.substr(0, beat.size()) == beat)
    return post ? onBeat(core, std::string(path.substr(beat.size())), req.body(), uri)
                : errorResponse(405, "POST only");
  if (path.substr(0, detach.size()) == detach)
    return post ? onDetach(core, std::string(path.substr(detach.size()))) : errorResponse(405, "POST only");
  if (path == "/v1/Configuration.Replace") {
    const auto b = req["X-Base-Version"];
    return post ? onReplace(core, {b.data(), b.size()}, req.body()) : errorResponse(405, "POST only");
  }
  if (path == "/v1/Configuration.Retrieve")
    return get ? onRetrieve(core) : errorResponse(405, "GET only");
  if (path == "/v1/Closures.Set")
    return post ? onClosure(core, std::string(path), &req.body()) : errorResponse(405, "POST only");
  if (path == "/v1/Closures.List")
    return get ? onClosure(core, std::string(path), nullptr) : errorResponse(405, "GET only");
  if (path == "/v1/Hints.Exchange") {
    const auto seal = req["X-Hint-Seal"];
    return post ? onHints(core, path, req.body(), {seal.data(), seal.size()}) : errorResponse(405, "POST only");
  }
  if (path == "/v1/Status")
    return get ? ApiResponse{200, core.statusJson(), ""} : errorResponse(405, "GET only");
  return errorResponse(404, "no such call");
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
    const auto response = answer(core, p.get(), uri);
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
