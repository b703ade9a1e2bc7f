#include "simulation/trial.hpp"

#include <cstdio>
#include <random>

#include "config/configuration.hpp"
#include "fleet.hpp"
#include "operations/call.hpp"
#include "proxy/http.hpp"
#include "simulation/linearizability.hpp"

namespace zinccleat::simulation {
namespace {
constexpr int kRunners = 4, kClients = 6, kEvents = 8;
constexpr int kOperators = 2, kOperatorTries = 6;
constexpr auto kBeat = 400ms;
constexpr auto kPatience = 5s;  // what a client gives a request, all its tries together

struct StandInRunner {
  std::string id, service, address;
  std::shared_ptr<tcp::acceptor> door;
  std::vector<std::shared_ptr<runtime::Connection>> open;
  bool up = true;
};
struct Seen {
  int pushes = 0, streams = 0, late = 0, refusals = 0, failures = 0, lost = 0, wrong = 0;
};
// `added` marks one change: a subscriber of that name, whom nobody uses.
std::string configurationText(std::int64_t version, const std::string& added) {
  return R"({"configVersion":)" + std::to_string(version) + R"(,"routeTable":[
         {"label":"push","authority":"trial.example","pathPrefix":"/push/","routeType":"unsafe","expiryMs":3000,"targetLatencyMs":300,"targetService":"gateway","maxAttempts":2},
         {"label":"recap","authority":"trial.example","pathPrefix":"/recap/","routeType":"stream","streamResume":true,"expiryMs":3000,"targetLatencyMs":600,"targetService":"models","maxAttempts":2}],
         "serviceTable":[{"label":"gateway"},{"label":"models"}],"subscribers":[{"label":"newcomer","accessKeys":["trial-key"]},
         {"label":")" +
         added + R"(","accessKeys":["key-of-)" + added + R"("]}]})";
}
std::int64_t microseconds() {
  return std::chrono::duration_cast<std::chrono::microseconds>(Clock::now().time_since_epoch()).count();
}
// Counts a try that brought no right answer.
bool miss(int& counter) {
  ++counter;
  return false;
}
class Trial {
 public:
  Trial(std::string binary, int seconds) : fleet_(std::move(binary), 3), seconds_(seconds) {}
  int run();

 private:
  void serve(const std::shared_ptr<StandInRunner>& r);
  void answer(StandInRunner& r, runtime::Connection& c);
  void beat(const std::shared_ptr<StandInRunner>& r);
  void client(int no);
  bool attempt(const std::string& path, const std::string& id, Duration& again);
  std::optional<std::size_t> leader();
  void operate(int no);
  bool sendOrder(const std::string& who, std::size_t node, std::int64_t base, std::int64_t version,
                 const std::string& body);
  std::optional<std::int64_t> readVersion(const std::string& who, std::size_t node);
  bool answerLost() { return rng_() % 4 == 0; }
  bool checkOperators() const;
  LocalFleet fleet_;
  int seconds_;
  std::mt19937_64 rng_{7};
  std::vector<std::shared_ptr<StandInRunner>> runners_;
  std::map<std::string, int> runs_;  // by attempt, of what may run once
  Seen seen_;
  OperatorRecorder operators_;
  bool over_ = false;
  int clients_ = 0;
};
void Trial::serve(const std::shared_ptr<StandInRunner>& r) {
  r->door->async_accept([this, r](runtime::SocketError ec, tcp::socket s) {
    if (ec || !r->up)
      return;
    auto c = std::make_shared<runtime::Connection>(std::move(s));
    runtime::tune(c->socket());
    r->open.push_back(c);
    runtime::EventLoop::get().spawn([this, r, c] { answer(*r, *c); });
    serve(r);
  });
}
void Trial::answer(StandInRunner& r, runtime::Connection& c) {
  proxy::Buffer buf;
  runtime::SocketError ec;
  while (r.up && !ec) {
    proxy::RequestParser p;
    if (proxy::readRequest(c, buf, p, {}).outcome != proxy::ReadOutcome::complete)
      return;
    auto& q = p.get();
    const std::string id(q["X-Attempt-Id"]);
    const auto head = [&](const char* status, const std::string& more) {
      return std::string("HTTP/1.1 ") + status + "\r\nX-Attempt-Id: " + id + "\r\nX-Server-Seal: " + r.id + "\r\n" +
             more;
    };
    if (q["X-Expected-Instance"] != r.id) {
      c.write(asio::buffer(head("421 Other", "Content-Length: 0\r\n\r\n")), ec);
    } else if (q.target().find("/push/") != std::string_view::npos) {
      ++runs_[id];
      const auto body = "pushed " + id;
      c.write(asio::buffer(head("200 OK", "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body)), ec);
    } else {
      c.write(asio::buffer(head("200 OK", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")),
              ec);
      // A stream that was cut goes on behind what its client has.
      for (int i = std::atoi(std::string(q["Last-Event-Id"]).c_str()) + 1; i <= kEvents && !ec && r.up; ++i) {
        runtime::EventLoop::get().sleepFor(15ms);
        const auto e = "id: " + std::to_string(i) + "\ndata: recap\n\n";
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", e.size());
        c.write(asio::buffer(size + e + "\r\n"), ec);
      }
      if (!ec && r.up)
        c.write(asio::buffer("0\r\n\r\n", 5), ec);
    }
  }
}
void Trial::beat(const std::shared_ptr<StandInRunner>& r) {
  for (int n = 1; r->up && !over_; ++n, runtime::EventLoop::get().sleepFor(kBeat)) {
    operations::Call c{
        "POST",
        "/v1/Instances.Heartbeat/" + r->id,
        "{\"targetService\":\"" + r->service + "\",\"address\":\"" + r->address +
            "\",\"zone\":\"z\",\"capacity\":8,\"state\":\"in_service\",\"sequence\":" + std::to_string(n) + "}",
        {}};
    (void)operations::callOne(fleet_.control(rng_()), c, 1000ms);
  }
}
// One try at the proxy. True: the whole right answer came.
bool Trial::attempt(const std::string& path, const std::string& id, Duration& again) {
  runtime::Connection c;
  runtime::SocketError ec;
  c.setDeadline(Clock::now() + 3s);
  c.connect(*runtime::parseEndpoint(fleet_.access()), ec);
  if (ec)
    return miss(seen_.failures);
  runtime::tune(c.socket());
  c.write(asio::buffer("POST " + path +
                       " HTTP/1.1\r\nHost: trial.example\r\nAuthorization: Bearer trial-key\r\nX-Attempt-Id: " + id +
                       "\r\nX-Deadline-Ms: 3000\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"),
          ec);
  proxy::Buffer buf;
  http::response_parser<http::string_body> p;
  p.eager(true);
  if (!ec)
    proxy::pump(c, buf, p, false, ec);
  if (ec || !p.is_done())
    return miss(seen_.failures);
  const auto status = p.get().result_int();
  if (status == 503 || status == 429) {
    ++seen_.refusals;
    again = Duration(static_cast<std::int64_t>(std::atof(std::string(p.get()["Retry-After"]).c_str()) * 1000));
    return false;
  }
  if (status != 200)
    return miss(seen_.failures);
  const bool push = path.find("/push/") != std::string::npos;
  std::string whole;
  for (int i = 1; i <= kEvents; ++i)
    whole += "id: " + std::to_string(i) + "\ndata: recap\n\n";
  if (p.get().body() != (push ? "pushed " + id : whole))
    return miss(seen_.wrong);
  return true;
}
void Trial::client(int no) {
  ++clients_;
  for (int n = 0; !over_; ++n) {
    const bool push = n % 2;
    const auto began = Clock::now();
    bool done = false;
    for (int t = 0; !done && Clock::now() - began < kPatience; ++t) {
      Duration again{50};
      done = attempt(push ? "/push/x" : "/recap/x",
                     std::to_string(no) + "-" + std::to_string(n) + "-" + std::to_string(t), again);
      if (!done)
        runtime::EventLoop::get().sleepFor(std::max(again, Duration(20)));
    }
    if (!done)
      ++seen_.lost;
    else
      ++(push ? seen_.pushes : seen_.streams);
    if (done && Clock::now() - began > 1s)
      ++seen_.late;
    runtime::EventLoop::get().sleepFor(20ms);
  }
  --clients_;
}
// One Replace at one node. True: it was answered, clearly, and the answer was not lost on its way.
bool Trial::sendOrder(const std::string& who, std::size_t node, std::int64_t base, std::int64_t version,
                      const std::string& body) {
  const operations::Call c{"POST", "/v1/Configuration.Replace", body, {{"X-Base-Version", std::to_string(base)}}};
  const auto call = operators_.replaceSent(who, microseconds(), base, version, body);
  const auto r = operations::callOne(fleet_.control(node), c, 2000ms);
  if (!r || answerLost())
    return false;
  operators_.replaceAnswered(call, microseconds(), r->status);
  return r->status == 200 || r->status == 400 || r->status == 412;
}
std::optional<std::int64_t> Trial::readVersion(const std::string& who, std::size_t node) {
  const auto call = operators_.retrieveSent(who, microseconds());
  const auto r =
      operations::callOne(fleet_.control(node), operations::Call{"GET", "/v1/Configuration.Retrieve", "", {}}, 1000ms);
  if (!r || r->status != 200 || answerLost())
    return std::nullopt;
  const auto configuration = config::parseConfiguration(r->body);
  if (!configuration)
    return std::nullopt;
  operators_.retrieveAnswered(call, microseconds(), (*configuration)->version, r->body);
  return (*configuration)->version;
}
// Reads what is in force anywhere, builds on it, and sends that to any node until it has a clear answer.
void Trial::operate(int no) {
  ++clients_;
  const auto who = "operator-" + std::to_string(no);
  for (int n = 0; !over_; ++n) {
    runtime::EventLoop::get().sleepFor(Duration(50 + rng_() % 200));
    const auto base = readVersion(who, rng_());
    if (!base)
      continue;
    const auto version = *base + 1 + static_cast<std::int64_t>(rng_() % 2);
    const auto body = configurationText(version, who + "-" + std::to_string(n));
    for (int i = 0; i < kOperatorTries && !over_ && !sendOrder(who, rng_(), *base, version, body); ++i)
      runtime::EventLoop::get().sleepFor(100ms);
  }
  --clients_;
}
bool Trial::checkOperators() const {
  const auto& calls = operators_.calls();
  const auto result = checkLinearizable(calls);
  const auto changes =
      std::count_if(calls.begin(), calls.end(), [](auto& c) { return c.answer == OperatorCall::Answer::acknowledged; });
  std::printf("operators' calls %zu, acknowledged %td: %s\n", calls.size(), changes,
              result.linearizable ? "linearizable" : "NOT LINEARIZABLE");
  if (!result.linearizable)
    std::printf("%s\n", result.explanation.c_str());
  return result.linearizable;
}
std::optional<std::size_t> Trial::leader() {
  for (std::size_t i = 0; i < fleet_.core().size(); ++i)
    if (const auto r = operations::callOne(fleet_.control(i), operations::Call{"GET", "/v1/Status", "", {}}, 1000ms);
        r && r->body.find("\"leased\":true") != std::string::npos)
      return i;
  return std::nullopt;
}
int Trial::run() {
  auto& loop = runtime::EventLoop::get();
  auto say = [](const std::string& s) { std::printf("%s\n", s.c_str()), std::fflush(stdout); };
  const auto fail = [](const std::string& why) {
    return std::fprintf(stderr, "zinccleat trial: %s\n", why.c_str()), 1;
  };
  if (!fleet_.startCore() || !fleet_.startPair())
    return fail("cannot start " + fleet_.binary());
  bool taken = false;
  for (std::size_t i = 0; i < 100 && !taken; ++i) {
    taken = sendOrder("first", i, 0, 1, configurationText(1, "first"));
    if (!taken)
      loop.sleepFor(100ms);
  }
  if (!taken)
    return fail("the core took no configuration in 10 s");
  for (int i = 0; i < kRunners; ++i) {
    auto r = std::make_shared<StandInRunner>();
    r->id = "runner-" + std::to_string(i + 1);
    r->service = i % 2 ? "gateway" : "models";
    r->door = std::make_shared<tcp::acceptor>(loop.io(), tcp::endpoint(asio::ip::make_address(fleet_.ip(7, 1)), 0));
    r->address = fleet_.ip(7, 1) + ":" + std::to_string(r->door->local_endpoint().port());
    runners_.push_back(r);
    serve(r);
    loop.spawn([this, r] { beat(r); });
  }
  for (int i = 0; i < 100 && !leader(); ++i)
    loop.sleepFor(50ms);
  loop.sleepFor(1000ms);  // the proxy has its lease, the runners are known
  say("a core of three, an agent and a proxy, " + std::to_string(kRunners) + " runners, " + std::to_string(kClients) +
      " clients; folder " + fleet_.folder());
  say("while it runs: zinccleat status " + fleet_.control(0) + " " + fleet_.control(1) + " " + fleet_.control(2));
  for (int i = 0; i < kClients; ++i)
    loop.spawn([this, i] { client(i); });
  for (int i = 0; i < kOperators; ++i)
    loop.spawn([this, i] { operate(i); });
  const auto third = Duration(seconds_ * 1000 / 3);
  loop.sleepFor(third);
  if (const auto l = leader()) {
    say("kills the leader, " + fleet_.processes()[*l].name + ", without a word");
    fleet_.kill(*l);
    loop.sleepFor(300ms);
    fleet_.startAgain(*l);
  }
  loop.sleepFor(third);
  say("kills " + runners_[0]->id + ", without a word");
  runners_[0]->up = false;
  runtime::SocketError ec;
  runners_[0]->door->close(ec);
  for (auto& x : runners_[0]->open)
    x->close();
  loop.sleepFor(third);
  over_ = true;
  for (int i = 0; i < 120 && clients_ > 0; ++i)
    loop.sleepFor(50ms);
  int doubled = 0;
  for (auto& [id, n] : runs_)
    doubled += n > 1;
  std::printf(
      "\npushes served %d, streams served %d, of these late (over a second) %d\nrefused with a time to come back %d, "
      "failed tries %d\n"
      "lost %d, wrong %d, run twice %d\n\nfurther: docs/design.md, docs/operators, zinccleat scale-run\n",
      seen_.pushes, seen_.streams, seen_.late, seen_.refusals, seen_.failures, seen_.lost, seen_.wrong, doubled);
  const bool operatorsWell = checkOperators();
  return operatorsWell && seen_.lost + seen_.wrong + doubled == 0 && seen_.pushes > 0 && seen_.streams > 0 ? 0 : 1;
}
}  // namespace
int trial(const std::string& binary, int seconds) {
  // Why the loop outlives everything on it: sockets end on the loop that they were made on.
  static runtime::EventLoop loop;
  Trial t(binary, seconds);
  int rc = 1;
  loop.spawn([&] {
    rc = t.run();
    loop.stop();
  });
  loop.run();
  return rc;
}
}  // namespace zinccleat::simulation
