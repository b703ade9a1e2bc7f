// Guards against a process that ends, or goes over the memory or the descriptors of its machine, because of what its
// peers send: trailers and chunk lines without end, bodies and headers that stop short of their end, answers that are
// not read, connections without end, at each port. A case starts a small fleet with low limits, sends the crowd, and
// checks while the crowd stays connected: every process runs, its memory (with what has arrived and was not read) and
// its descriptors are within its limits, and one ordinary request at each port is answered. Nothing depends on the
// speed of the machine. Usage: zinccleat_crowds PROGRAM CASE; without a case it prints the names of all. With
// --minutes=N in place of a case, all cases meet one fleet with the limits of a deployment, in rounds, and what each
// process has between two rounds is printed: neither memory nor descriptors may only rise.
#include <cstdio>
#include <cstring>

#include "crowd_cases.hpp"
#include "fleet.hpp"
#include "operations/call.hpp"
#include "process_usage.hpp"
#include "proxy/http.hpp"

namespace zinccleat::crowds {
namespace {
constexpr simulation::ProcessLimits kLimits{.memoryMb = 64, .fdLimit = 1000};
constexpr simulation::ProcessLimits kDeploymentLimits{.memoryMb = 220, .fdLimit = 4200};
constexpr int kDeploymentCrowdFactor = 4;
constexpr int kMinConnectionsToScale = 100;  // crowds of few connections send without end
constexpr auto kCalmTime = 5s;
constexpr std::string_view kMinutesFlag = "--minutes=";
constexpr int kReservedDescriptors = 200;  // of `fdLimit`, for files outside the disk folder (the users' pages)
constexpr std::size_t kBytesPerMb = std::size_t{1} << 20;
constexpr auto kSampleInterval = 50ms;
constexpr auto kRetryInterval = 100ms;
constexpr auto kHeartbeatInterval = 400ms;
constexpr Duration kCallTimeout{3000};
constexpr Duration kRetryTimeout{30000};  // of an ordinary caller that tries again
constexpr int kOk = 200;
constexpr std::string_view kRunnerBody = "served";
constexpr std::size_t kLargeAnswerBytes = 1'000'000;

std::string configurationText() {
  return R"({"configVersion":1,"routeTable":[{"label":"safe","authority":"crowd.example","pathPrefix":"/safe/",)"
         R"("routeType":"safe","expiryMs":3000,"targetLatencyMs":300,"targetService":"s","maxAttempts":2}],)"
         R"("serviceTable":[{"label":"s"}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,)"
         R"("headerTimerMs":3000,"idleTimerMs":15000}})";
}

/// A runner that answers every request, and its heartbeats.
class Runner {
 public:
  explicit Runner(const simulation::LocalFleet& fleet)
      : fleet_(fleet), acceptor_(runtime::EventLoop::get().io(), {asio::ip::make_address(fleet.ip(7, 1)), 0}) {
    acceptNext();
    runtime::EventLoop::get().spawn([this] { sendHeartbeats(); });
  }

 private:
  void acceptNext() {
    acceptor_.async_accept([this](runtime::SocketError ec, tcp::socket socket) {
      if (ec)
        return;
      auto accepted = std::make_shared<tcp::socket>(std::move(socket));
      runtime::EventLoop::get().spawn([accepted] { serve(std::move(*accepted)); });
      acceptNext();
    });
  }
  static void serve(tcp::socket socket) {
    runtime::Connection connection(std::move(socket));
    proxy::Buffer buffer;
    for (;;) {
      proxy::RequestParser parser;
      if (proxy::readRequest(connection, buffer, parser, {}).outcome != proxy::ReadOutcome::complete)
        return;
      runtime::SocketError ec;
      const bool isLarge = parser.get().target() == kLargeAnswerPath;
      const auto body = isLarge ? std::string(kLargeAnswerBytes, 'a') : std::string(kRunnerBody);
      const auto answer = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + std::string(parser.get()["X-Attempt-Id"]) +
                          "\r\nX-Server-Seal: seal\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                          body;
      connection.write(asio::buffer(answer), ec);
      if (ec)
        return;
    }
  }
  void sendHeartbeats() {
    for (int sequence = 1;; ++sequence) {
      operations::Call call;
      call.method = "POST";
      call.path = "/v1/Instances.Heartbeat/r1";
      call.body = R"({"targetService":"s","configVersion":"v1","address":")" + fleet_.ip(7, 1) + ":" +
                  std::to_string(acceptor_.local_endpoint().port()) +
                  R"(","zone":"z","capacity":64,"state":"in_service","sequence":)" + std::to_string(sequence) + "}";
      (void)operations::callOne(fleet_.control(0), call, kCallTimeout);
      runtime::EventLoop::get().sleepFor(kHeartbeatInterval);
    }
  }

  const simulation::LocalFleet& fleet_;
  tcp::acceptor acceptor_;
};

/// One run of a case.
class CrowdRun {
 public:
  CrowdRun(const std::string& program, const simulation::ProcessLimits& limits)
      : limits_(limits),
        fleet_(program, simulation::FleetOptions{.core = 1, .coreLimits = limits, .accessLimits = limits}) {}
  /// @return whether all that the case checks held.
  bool run(const CrowdCase& crowdCase) {
    if (!startFleet())
      return false;
    play(crowdCase);
    return passed_;
  }
  /// Plays all cases in rounds. @return whether all that they check held.
  bool runRounds(std::vector<CrowdCase> cases, Duration time) {
    if (!startFleet())
      return false;
    for (auto& each : cases)
      enlarge(each);
    const auto end = Clock::now() + time;
    for (int round = 1; Clock::now() < end; ++round) {
      for (const auto& each : cases)
        play(each);
      runtime::EventLoop::get().sleepFor(kCalmTime);
      printCalmUsage(round);
    }
    return passed_;
  }

 private:
  static void enlarge(CrowdCase& crowdCase) {
    for (auto& [port, plan] : crowdCase.crowds)
      if (plan.connections >= kMinConnectionsToScale)
        plan.connections *= kDeploymentCrowdFactor;
  }
  void printCalmUsage(int round) const {
    for (std::size_t process = 0; process < fleet_.processes().size(); ++process) {
      const auto& running = fleet_.processes()[process];
      const auto usage = readUsage(running.pid, fleet_.listeningAddresses(process));
      std::printf("round %d: %s: %zu MB resident, %d descriptors, %s\n", round, running.role.c_str(),
                  usage.residentBytes / kBytesPerMb, usage.descriptors, passed_ ? "all held" : "FAILED");
    }
    std::fflush(stdout);
  }
  void play(const CrowdCase& crowdCase) {
    case_ = crowdCase;
    std::vector<std::unique_ptr<Crowd>> crowds;
    for (const auto& [port, plan] : case_.crowds)
      crowds.push_back(std::make_unique<Crowd>(addressOf(port), plan));
    for (const auto& crowd : crowds)
      crowd->awaitSent();
    runtime::EventLoop::get().sleepFor(case_.callers.firstAttemptAfter);
    callAsOrdinaryCallers();
    for (const auto& crowd : crowds)
      require(crowd->mostSent() <= case_.maxTakenBytes, "what is taken of one connection is bounded");
    checkProcesses();
  }
  bool startFleet() {
    if (!fleet_.startCore() || !fleet_.startAccessMachine())
      return fail("the fleet cannot be started");
    if (!answeredInTheEnd([this] { return installConfiguration(); }))
      return fail("no configuration was acknowledged");
    runner_.emplace(fleet_);
    if (!answeredInTheEnd([this] { return accessAnswers(); }))
      return fail("no request is answered before the crowd");
    runtime::EventLoop::get().spawn([this] { sampleUsage(); });
    return true;
  }
  void callAsOrdinaryCallers() {
    requireAnswer([this] { return accessAnswers(case_.callers.bodyBytes); },
                  "an ordinary request at the access port is answered");
    requireAnswer([this] { return answers(fleet_.control(0), "/v1/Status"); },
                  "an ordinary call at the control port is answered");
    requireAnswer([this] { return answers(fleet_.readiness(), "/v1/readiness"); }, "a readiness check is answered");
  }
  void requireAnswer(const std::function<bool()>& attempt, const std::string& what) {
    if (case_.callers.firstAttemptAfter > Duration(0))
      require(attempt(), what + " at the first attempt (access port: " + lastAnswer_ + ")");
    else
      require(answeredInTheEnd(attempt), what);
  }
  bool installConfiguration() const {
    operations::Call call;
    call.method = "POST";
    call.path = "/v1/Configuration.Replace";
    call.body = configurationText();
    call.headers = {{"X-Base-Version", "0"}};
    const auto answer = operations::callOne(fleet_.control(0), call, kCallTimeout);
    return answer && answer->status == kOk;
  }
  bool accessAnswers(std::size_t bodyBytes = OrdinaryCallers().bodyBytes) const {
    operations::Call call;
    call.method = "POST";
    call.path = "/safe/x";
    call.body = std::string(bodyBytes, 'b');
    call.headers = {{"Host", "crowd.example"}, {"X-Attempt-Id", "ordinary"}};
    const auto answer = callAccess(call);
    return answer == std::string(kRunnerBody);
  }
  /// A request at the access port; `operations::callOne` sends the address as the authority.
  std::string callAccess(const operations::Call& call) const {
    runtime::Connection connection;
    runtime::SocketError ec;
    connection.setDeadline(Clock::now() + kCallTimeout);
    connection.connect(*runtime::parseEndpoint(fleet_.access()), ec);
    std::string text = call.method + " " + call.path + " HTTP/1.1\r\nConnection: close\r\n";
    for (const auto& header : call.headers)
      text += header.name + ": " + header.value + "\r\n";
    text += "Content-Length: " + std::to_string(call.body.size()) + "\r\n\r\n" + call.body;
    if (!ec)
      connection.write(asio::buffer(text), ec);
    proxy::Buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.eager(true);
    if (!ec)
      proxy::readIntoParser(connection, buffer, parser, false, ec);
    lastAnswer_ = ec ? ec.message() : "status " + std::to_string(parser.get().result_int());
    return !ec && parser.get().result_int() == kOk ? parser.get().body() : std::string();
  }
  static bool answers(const std::string& address, const std::string& path) {
    operations::Call call;
    call.path = path;
    const auto answer = operations::callOne(address, call, kCallTimeout);
    return answer && answer->status == kOk;
  }
  static bool answeredInTheEnd(const std::function<bool()>& attempt) {
    for (const auto end = Clock::now() + kRetryTimeout; Clock::now() < end;) {
      if (attempt())
        return true;
      runtime::EventLoop::get().sleepFor(kRetryInterval);
    }
    return false;
  }
  std::string addressOf(Port port) const {
    const auto internal = [this](std::size_t process, std::size_t index) {
      return fleet_.listeningAddresses(process)[index];
    };
    switch (port) {
      case Port::access:
        return fleet_.access();
      case Port::control:
        return fleet_.control(0);
      case Port::readiness:
        return fleet_.readiness();
      case Port::agent:
        return internal(1, 0);
      case Port::consensus:
        return internal(0, 1);
      case Port::coordination:
        return internal(0, 2);
      case Port::counters:
        return internal(0, 3);
    }
    return {};
  }
  void sampleUsage() {
    for (;; runtime::EventLoop::get().sleepFor(kSampleInterval)) {
      most_.resize(fleet_.processes().size());
      for (std::size_t process = 0; process < most_.size(); ++process) {
        const auto usage = readUsage(fleet_.processes()[process].pid, fleet_.listeningAddresses(process));
        auto& most = most_[process];
        const auto descriptors = std::max(most.descriptors, usage.descriptors);
        if (usage.totalBytes() > most.totalBytes())
          most = usage;
        most.descriptors = descriptors;
      }
    }
  }
  void checkProcesses() {
    for (std::size_t process = 0; process < fleet_.processes().size(); ++process) {
      const auto& running = fleet_.processes()[process];
      const auto peak = peakResidentBytes(running.pid);
      require(!fleet_.pollExitStatus(process), running.role + " runs");
      const auto& most = most_[process];
      std::printf(
          "%s: at most %zu MB resident, %zu MB unread and %zu MB unsent at once, peak %zu MB resident of %d, "
          "%d descriptors\n",
          running.role.c_str(), most.residentBytes / kBytesPerMb, most.unreadBytes / kBytesPerMb,
          most.unsentBytes / kBytesPerMb, peak / kBytesPerMb, limits_.memoryMb, most.descriptors);
      const auto memory = static_cast<std::size_t>(limits_.memoryMb) * kBytesPerMb;
      require(peak <= memory && most.totalBytes() <= memory,
              "the memory of the " + running.role + " is within its limit");
      require(most.descriptors <= limits_.fdLimit - kReservedDescriptors,
              "the descriptors of the " + running.role + " are within its limit");
    }
  }
  void require(bool holds, const std::string& what) {
    if (!holds)
      (void)fail("must hold: " + what);
  }
  bool fail(const std::string& what) {
    std::printf("FAILED %s: %s\n", case_.name.c_str(), what.c_str());
    passed_ = false;
    return false;
  }

  const simulation::ProcessLimits limits_;
  CrowdCase case_;
  simulation::LocalFleet fleet_;
  std::optional<Runner> runner_;
  std::vector<ProcessUsage> most_;
  mutable std::string lastAnswer_;  // of the access port, for the report
  bool passed_ = true;
};
/// Plays on an event loop of its own, and ends the process.
[[noreturn]] void playAndExit(const std::string& program, const simulation::ProcessLimits& limits,
                              const std::string& name, const std::function<bool(CrowdRun&)>& play) {
  runtime::EventLoop loop;
  bool passed = false;
  {
    auto run = std::make_unique<CrowdRun>(program, limits);
    loop.spawn([&] {
      passed = play(*run);
      loop.stop();
    });
    loop.run();
    std::fflush(stdout);
    // The fleet ends with this process: fibers still refer to the run.
    run.reset();
  }
  std::printf("%s: %s\n", name.c_str(), passed ? "held" : "failed");
  std::fflush(stdout);
  std::_Exit(passed ? 0 : 1);
}
}  // namespace
}  // namespace zinccleat::crowds

int main(int argc, char** argv) {
  using namespace zinccleat;
  const auto cases = crowds::allCases();
  if (argc < 3) {
    for (const auto& each : cases)
      std::printf("%s\n", each.name.c_str());
    return argc == 2 ? 0 : 2;
  }
  const std::string what = argv[2];
  if (what.starts_with(crowds::kMinutesFlag)) {
    const std::chrono::minutes time(std::atoi(what.c_str() + crowds::kMinutesFlag.size()));
    crowds::playAndExit(argv[1], crowds::kDeploymentLimits, what,
                        [&](crowds::CrowdRun& run) { return run.runRounds(cases, time); });
  }
  const auto chosen = std::find_if(cases.begin(), cases.end(), [&](const auto& each) { return each.name == what; });
  if (chosen == cases.end()) {
    std::fprintf(stderr, "no case '%s'\n", argv[2]);
    return 2;
  }
  crowds::playAndExit(argv[1], crowds::kLimits, what, [&](crowds::CrowdRun& run) { return run.run(*chosen); });
}
