#include <sys/resource.h>

#include <cstdio>
#include <filesystem>
#include <fstream>

#include "config/calls.hpp"
#include "config/configuration.hpp"
#include "fleet.hpp"
#include "hollow_node.hpp"
#include "operations/call.hpp"
#include "simulation/plan.hpp"
#include "state_machine/delta.hpp"

namespace zinccleat::simulation {
namespace {
// The messages of access machines, by the names that earlier measurements have.
const std::pair<transport::MessageType, const char*> kMessages[] = {
    {transport::MessageType::agentState, "state"},         {transport::MessageType::clusterStatus, "stateAck"},
    {transport::MessageType::followLog, "follow"},         {transport::MessageType::feedEntries, "feed"},
    {transport::MessageType::feedSnapshot, "snapshot"},    {transport::MessageType::leaseRequest, "challenge"},
    {transport::MessageType::leaseResponse, "lease"},      {transport::MessageType::quotaTokenRequest, "draw"},
    {transport::MessageType::quotaTokenResponse, "drawn"},
};

double cpuOf(pid_t pid) {  // seconds, over all threads
  double ns = 0;
  std::error_code ec;
  for (auto& t : std::filesystem::directory_iterator("/proc/" + std::to_string(pid) + "/task", ec)) {
    std::ifstream in(t.path() / "schedstat");
    double x = 0;
    if (in >> x)
      ns += x;
  }
  return ns / 1e9;
}
double peakMb(pid_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(in, line);)
    if (line.rfind("VmHWM:", 0) == 0)
      return std::atof(line.c_str() + 6) / 1024;
  return 0;
}
double quantile(std::vector<double> v, double q) {
  if (v.empty())
    return 0;
  std::sort(v.begin(), v.end());
  return v[std::min(v.size() - 1, static_cast<std::size_t>(q * static_cast<double>(v.size())))];
}
int fail(const std::string& why) {
  std::fprintf(stderr, "zinccleat scale-run: %s\n", why.c_str());
  return 1;
}
class ScaleRun {
 public:
  ScaleRun(const ScaleRunPlan& p, std::string binary)
      : p_(p), fleet_(std::move(binary), p.core), rng_(static_cast<std::uint64_t>(p.seed)) {
    keyNo_.assign(static_cast<std::size_t>(p_.tenants), 0);
  }
  int run(bool json);

 private:
  bool until(Duration within, const std::function<bool()>& f) {
    for (const auto end = Clock::now() + within; Clock::now() < end; runtime::EventLoop::get().sleepFor(50ms))
      if (f())
        return true;
    return f();
  }
  bool replace(std::int64_t version, Duration within);
  void beat(int i);
  void change();

  ScaleRunPlan p_;
  LocalFleet fleet_;
  std::map<pid_t, double> cpuS_;  // at the beginning of what is measured
  std::mt19937_64 rng_;
  std::vector<std::unique_ptr<HollowNode>> nodes_;
  std::vector<int> keyNo_;
  std::int64_t version_ = 0, acknowledged_ = 0;
  TimePoint ackAt_{};
  std::vector<double> inForceMs_, takeOverMs_;
  int ending_ = 0, lives_ = 0;
  std::uint64_t ends_ = 0, endsLost_ = 0;
  std::uint64_t beats_ = 0, beatsLost_ = 0, changes_ = 0, changesLost_ = 0;
  bool over_ = false;
};
bool ScaleRun::replace(std::int64_t version, Duration within) {
  operations::Call c{"POST",
                     "/v1/Configuration.Replace",
                     planConfiguration(p_, version, keyNo_),
                     {{"X-Base-Version", std::to_string(acknowledged_)}}};
  for (const auto end = Clock::now() + within; Clock::now() < end; runtime::EventLoop::get().sleepFor(100ms)) {
    const auto r = operations::callOne(fleet_.control(rng_()), c, 3000ms);
    if (r && r->status == 200) {
      acknowledged_ = version;
      ackAt_ = Clock::now();
      return true;
    }
  }
  return false;
}
void ScaleRun::change() {
  ++keyNo_[rng_() % keyNo_.size()];
  version_ += 1 + static_cast<std::int64_t>(rng_() % 3);
  // Whoever has it before its acknowledgement came has it after 0 ms.
  if (!replace(version_, 3000ms)) {
    ++changesLost_;
    return;
  }
  ++changes_;
  const auto at = ackAt_;
  const auto v = version_;
  auto waiting = std::make_shared<std::vector<bool>>(nodes_.size(), true);
  for (std::size_t left = nodes_.size(); left > 0 && Clock::now() - at < 13s;) {
    for (std::size_t i = 0; i < nodes_.size(); ++i)
      if ((*waiting)[i] && nodes_[i]->version() >= v) {
        (*waiting)[i] = false;
        --left;
        inForceMs_.push_back(std::chrono::duration<double, std::milli>(Clock::now() - at).count());
      }
    if (left)
      runtime::EventLoop::get().sleepFor(2ms);
  }
  for (bool w : *waiting)
    if (w)
      inForceMs_.push_back(13000);
}
void ScaleRun::beat(int i) {
  auto id = "i-" + std::to_string(i);
  const auto address = "10.9." + std::to_string(i / 250) + "." + std::to_string(i % 250 + 1) + ":8080";
  runtime::EventLoop::get().sleepFor(Duration(rng_() % 1200));
  for (int sequence = 1; !over_; ++sequence) {
    operations::Call c{"POST",
                       "/v1/Instances.Heartbeat/" + id,
                       "{\"targetService\":\"models\",\"address\":\"" + address +
                           "\",\"zone\":\"z\",\"configVersion\":\"v1\",\"capacity\":8,"
                           "\"state\":\"in_service\",\"warmupLeftMs\":0,\"sequence\":" +
                           std::to_string(sequence) + "}",
                       {}};
    const auto r = operations::callOne(fleet_.control(static_cast<std::size_t>(i)), c, 1000ms);
    ++(r && r->status == 200 ? beats_ : beatsLost_);
    runtime::EventLoop::get().sleepFor(1200ms);
    if (ending_ <= 0)
      continue;
    // Leaves in order: says so, waits a little, goes; then a new life at the same address.
    --ending_;
    const auto draining = operations::callOne(
        fleet_.control(static_cast<std::size_t>(i)),
        operations::Call{"POST",
                         "/v1/Instances.Heartbeat/" + id,
                         "{\"targetService\":\"models\",\"address\":\"" + address +
                             "\",\"zone\":\"z\",\"capacity\":8,\"state\":\"draining\",\"sequence\":" +
                             std::to_string(++sequence) + "}",
                         {}},
        1000ms);
    runtime::EventLoop::get().sleepFor(300ms);
    const auto gone = operations::callOne(fleet_.control(static_cast<std::size_t>(i) + 1),
                                          operations::Call{"POST", "/v1/Instances.Detach/" + id, "{}", {}}, 1000ms);
    ++(draining && draining->status == 200 && gone && gone->status == 200 ? ends_ : endsLost_);
    id = "i-" + std::to_string(i) + "-" + std::to_string(++lives_);
    sequence = 0;
  }
}
int ScaleRun::run(bool json) {
  auto& loop = runtime::EventLoop::get();
  if (!fleet_.startCore())
    return fail("cannot start " + fleet_.binary());
  version_ = 1;
  if (!replace(version_, 15s))
    return fail("the core took no configuration in 15 s");
  if (p_.pair && !fleet_.startPair())
    return 1;
  for (int i = 0; i < p_.runners; ++i)
    loop.spawn([this, i] { beat(i); });
  for (int i = 0; i < p_.nodes; ++i) {
    nodes_.push_back(
        std::make_unique<HollowNode>("127.4." + std::to_string(i / 250) + "." + std::to_string(i % 250 + 1) + "#agent",
                                     fleet_.core(), LocalFleet::kPort, rng_()));
    nodes_.back()->start();
  }
  auto all = [&] {
    return std::all_of(nodes_.begin(), nodes_.end(), [&](auto& n) { return n->leased() && n->version() == version_; });
  };
  if (!until(30s, all))
    return fail("not all nodes have a lease after 30 s");
  loop.sleepFor(2000ms);  // runners have joined, views are shuffled
  for (auto& x : fleet_.processes())
    cpuS_[x.pid] = cpuOf(x.pid);
  const auto traffic = transport::trafficSoFar();
  for (auto& n : nodes_) {
    n->granted = 0;
    n->refused = 0;
    n->drawMs.clear();
  }
  const auto begin = Clock::now();
  const auto end = begin + std::chrono::seconds(p_.seconds);
  loop.spawn([&] {
    std::exponential_distribution<double> gap(std::max(0.001, p_.requestsPerS));
    auto due = std::chrono::duration<double>(0);
    while (!over_ && p_.requestsPerS > 0) {
      // All that are due by now: a timer for each would cost more than what it plays.
      while (begin + std::chrono::duration_cast<Clock::duration>(due) <= Clock::now()) {
        nodes_[rng_() % nodes_.size()]->request("tenant-" +
                                                std::to_string(rng_() % static_cast<std::uint64_t>(p_.tenants)));
        due += std::chrono::duration<double>(gap(rng_));
      }
      runtime::EventLoop::get().sleepFor(2ms);
    }
  });
  loop.spawn([&] {
    while (!over_ && p_.changesPerMinute > 0) {
      runtime::EventLoop::get().sleepFor(Duration(static_cast<std::int64_t>(60000 / p_.changesPerMinute)));
      if (!over_)
        change();
    }
  });
  auto spread = [&](int times, const std::function<void()>& what) {
    if (times <= 0)
      return;
    loop.spawn([&, times, what] {
      for (int i = 0; i < times && !over_; ++i) {
        runtime::EventLoop::get().sleepFor(toDuration(end - begin) / (times + 1));
        if (!over_)
          what();
      }
    });
  };
  spread(p_.restarts, [this] { nodes_[rng_() % nodes_.size()]->restart(); });
  spread(p_.runnerEnds, [this] { ++ending_; });
  spread(p_.coreKills, [this] {
    for (std::size_t i = 0; i < fleet_.core().size(); ++i) {
      const auto st = operations::callOne(fleet_.control(i), operations::Call{"GET", "/v1/Status", "", {}}, 1000ms);
      if (!st || st->body.find("\"leased\":true") == std::string::npos)
        continue;
      const auto at = Clock::now();
      cpuS_[fleet_.processes()[i].pid] = 0;
      fleet_.kill(i);
      // Until a draw is answered again at some node: what a request without a token meets.
      std::uint64_t before = 0;
      std::uint64_t after = 0;
      for (auto& n : nodes_)
        before += n->drawMs.size();
      do {
        runtime::EventLoop::get().sleepFor(5ms);
        after = 0;
        for (auto& n : nodes_)
          after += n->drawMs.size();
      } while (after == before && Clock::now() - at < 10s);
      takeOverMs_.push_back(std::chrono::duration<double, std::milli>(Clock::now() - at).count());
      fleet_.startAgain(i);
      cpuS_[fleet_.processes()[i].pid] = 0;
      return;
    }
  });
  while (Clock::now() < end)
    loop.sleepFor(50ms);
  const double s = std::chrono::duration<double>(Clock::now() - begin).count();
  struct Row {
    std::string name;
    double cpu, mb;
    std::string role;
  };
  std::vector<Row> rows;
  for (std::size_t i = 0; i < fleet_.processes().size(); ++i) {
    auto& x = fleet_.processes()[i];
    Row r{x.name, (cpuOf(x.pid) - cpuS_[x.pid]) / s, peakMb(x.pid), ""};
    if (i < fleet_.core().size())
      if (const auto st = operations::callOne(fleet_.control(i), operations::Call{"GET", "/v1/Status", "", {}}, 2000ms))
        r.role = st->body.find("\"role\":\"leader\"") != std::string::npos ? "leads" : "follows";
    rows.push_back(r);
  }
  const auto now = transport::trafficSoFar();
  over_ = true;
  const bool same = until(5s, all) && std::all_of(nodes_.begin(), nodes_.end(),
                                                  [&](auto& n) { return n->digest() == nodes_[0]->digest(); });
  std::uint64_t granted = 0;
  std::uint64_t refused = 0;
  std::vector<double> draws;
  for (auto& n : nodes_) {
    granted += n->granted;
    refused += n->refused;
    draws.insert(draws.end(), n->drawMs.begin(), n->drawMs.end());
  }
  double in = 0;
  double out = 0;
  std::string kinds;
  const double perNode = s * p_.nodes;
  for (auto& [type, name] : kMessages) {
    const auto i = static_cast<std::size_t>(type);
    const double o = static_cast<double>(now.sent[i].bytes - traffic.sent[i].bytes) / perNode;
    const double r = static_cast<double>(now.received[i].bytes - traffic.received[i].bytes) / perNode;
    out += o;
    in += r;
    char b[160];
    std::snprintf(b, sizeof b, json ? "%s\"%s\":{\"out\":%.1f,\"in\":%.1f}" : "%s%-10s %9.1f %9.1f\n",
                  json && !kinds.empty() ? "," : "", name, o, r);
    if (o + r > 0 || json)
      kinds += b;
  }
  // What a change costs each process, apart from its way: timed here, on the plan's own configuration.
  const auto whole = planConfiguration(p_, 1, keyNo_);
  ++keyNo_[keyNo_.size() / 2];
  const auto next = planConfiguration(p_, 2, keyNo_);
  const auto timed = [](const std::function<void()>& f) {
    const auto at = Clock::now();
    for (int i = 0; i < 10; ++i)
      f();
    return std::chrono::duration<double, std::milli>(Clock::now() - at).count() / 10;
  };
  const auto wholeDigest = digestOf(whole);
  const auto nextDigest = digestOf(next);
  std::string difference;
  const double parseMs =
      timed([&] { checkInvariant(config::parseConfiguration(whole).has_value(), "the plan's own configuration"); });
  const double differMs =
      timed([&] { difference = state_machine::computeDelta(whole, wholeDigest, next, nextDigest); });
  const double applyMs = timed([&] {
    checkInvariant(state_machine::applyDelta(whole, wholeDigest, difference).has_value(), "its own difference");
  });
  // A leader killed leaves requests without tokens until the next one stands; that is shown, not judged here.
  const bool fine = same && (refused * 1000 <= granted + refused || p_.coreKills > 0) && changesLost_ == 0 &&
                    (endsLost_ == 0 || p_.coreKills > 0);
  if (json) {
    std::printf(
        "{\"core\":%d,\"nodes\":%d,\"runners\":%d,\"tenants\":%d,\"routes\":%d,\"requestsPerS\":%.1f,"
        "\"changesPerMinute\":%.1f,\"restarts\":%d,"
        "\"seconds\":%.1f,\"fine\":%s,\"bytesPerNodePerS\":{\"out\":%.1f,\"in\":%.1f,\"kinds\":{%s}},\"processes\":[",
        p_.core, p_.nodes, p_.runners, p_.tenants, p_.routes, p_.requestsPerS, p_.changesPerMinute, p_.restarts, s,
        fine ? "true" : "false", out, in, kinds.c_str());
    for (std::size_t i = 0; i < rows.size(); ++i)
      std::printf("%s{\"name\":\"%s\",\"role\":\"%s\",\"cores\":%.4f,\"peakMb\":%.1f}", i ? "," : "",
                  rows[i].name.c_str(), rows[i].role.c_str(), rows[i].cpu, rows[i].mb);
    std::printf(
        "],\"inForceMs\":{\"median\":%.1f,\"p99\":%.1f,\"worst\":%.1f},\"drawMs\":{\"median\":%.2f,\"p99\":%.2f},"
        "\"granted\":%llu,\"refused\":%llu,"
        "\"changes\":%llu,\"changesLost\":%llu,\"beats\":%llu,\"beatsLost\":%llu,\"runnersLeft\":%llu,"
        "\"runnersLeftWithoutAck\":%llu,"
        "\"takeOverMs\":{\"count\":%zu,\"median\":%.0f,\"worst\":%.0f},"
        "\"configuration\":{\"bytes\":%zu,\"differenceBytes\":%zu,\"parseMs\":%.2f,\"differMs\":%.2f,\"applyMs\":%.2f}}"
        "\n",
        quantile(inForceMs_, 0.5), quantile(inForceMs_, 0.99), quantile(inForceMs_, 1), quantile(draws, 0.5),
        quantile(draws, 0.99), static_cast<unsigned long long>(granted), static_cast<unsigned long long>(refused),
        static_cast<unsigned long long>(changes_), static_cast<unsigned long long>(changesLost_),
        static_cast<unsigned long long>(beats_), static_cast<unsigned long long>(beatsLost_),
        static_cast<unsigned long long>(ends_), static_cast<unsigned long long>(endsLost_), takeOverMs_.size(),
        quantile(takeOverMs_, 0.5), quantile(takeOverMs_, 1), whole.size(), difference.size(), parseMs, differMs,
        applyMs);
  } else {
    std::printf(
        "measured on loopback for %.1f s: %d core, %d hollow nodes, %d runners, %d tenants, %d routes\n\nprocess     "
        "role      cores  peak MB\n",
        s, p_.core, p_.nodes, p_.runners, p_.tenants, p_.routes);
    for (auto& r : rows)
      std::printf("%-11s %-8s %6.4f %8.1f\n", r.name.c_str(), r.role.c_str(), r.cpu, r.mb);
    std::printf("\nbytes a second and node   out        in\n%s%-10s %9.1f %9.1f\n", kinds.c_str(), "all", out, in);
    std::printf(
        "\nchanges: %llu acknowledged, %llu not; in force everywhere: median %.1f ms, 99th %.1f ms, worst %.1f ms\n",
        static_cast<unsigned long long>(changes_), static_cast<unsigned long long>(changesLost_),
        quantile(inForceMs_, 0.5), quantile(inForceMs_, 0.99), quantile(inForceMs_, 1));
    std::printf("requests: %llu with a token, %llu refused below the limit; a draw takes %.2f ms, 99th %.2f ms\n",
                static_cast<unsigned long long>(granted), static_cast<unsigned long long>(refused),
                quantile(draws, 0.5), quantile(draws, 0.99));
    if (ends_ + endsLost_)
      std::printf("runners that left in order: %llu acknowledged, %llu not\n", static_cast<unsigned long long>(ends_),
                  static_cast<unsigned long long>(endsLost_));
    for (double ms : takeOverMs_)
      std::printf("leader killed: draws answered again after %.0f ms\n", ms);
    std::printf(
        "configuration: %zu bytes whole, %zu for one key changed; read in %.2f ms, difference made in %.2f ms, applied "
        "in %.2f ms\n",
        whole.size(), difference.size(), parseMs, differMs, applyMs);
    std::printf("runners' beats: %llu acknowledged, %llu not\ncopies at the end: %s\n",
                static_cast<unsigned long long>(beats_), static_cast<unsigned long long>(beatsLost_),
                same ? "all alike" : "NOT alike");
  }
  return fine ? 0 : 1;
}
}  // namespace
int runAtScale(const ScaleRunPlan& p, const std::string& binary, bool json) {
  rlimit r{};
  if (::getrlimit(RLIMIT_NOFILE, &r) == 0) {
    r.rlim_cur = r.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &r);
  }
  // Why the loop outlives everything on it: sockets end on the loop that they were made on.
  static runtime::EventLoop loop;
  ScaleRun show(p, binary);
  int rc = 1;
  loop.spawn([&] {
    rc = show.run(json);
    loop.stop();
  });
  loop.run();
  return rc;
}
}  // namespace zinccleat::simulation
