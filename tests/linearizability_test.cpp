/// Tests of the linearizability checker with fixed and generated histories, and checks of histories recorded on
/// simulated clusters with fixed seeds, in which several operators change and read the configuration at any node while
/// answers are lost and requests are retried.
#include "simulation/linearizability.hpp"

#include <gtest/gtest.h>

#include <random>

#include "runtime/event_loop.hpp"
#include "simulated_cluster.hpp"

using namespace zinccleat;
using namespace zinccleat::consensus;
using namespace zinccleat::runtime;
using namespace zinccleat::simulation;
using namespace zinccleat::state_machine;
using zinccleat::sim::SimulatedCluster;
namespace {
using Kind = OperatorCall::Kind;
using Answer = OperatorCall::Answer;
OperatorCall replace(std::int64_t began, std::int64_t ended, std::int64_t base, std::int64_t version,
                     const std::string& body, Answer answer) {
  return {Kind::replace, "operator", began, ended, base, version, body, answer};
}
OperatorCall lostReplace(std::int64_t began, std::int64_t base, std::int64_t version, const std::string& body) {
  return replace(began, OperatorCall::kNever, base, version, body, Answer::unknown);
}
OperatorCall retrieve(std::int64_t began, std::int64_t ended, std::int64_t version, const std::string& body) {
  return {Kind::retrieve, "operator", began, ended, 0, version, body, Answer::configuration};
}
constexpr auto kAcknowledged = Answer::acknowledged, kOtherVersion = Answer::otherVersion, kInvalid = Answer::invalid;
struct Example {
  const char* what;
  bool linearizable;
  std::vector<OperatorCall> history;
};
}  // namespace

TEST(Linearizability, ExamplesAreClassified) {
  const std::vector<Example> examples = {
      {"empty history", true, {}},
      {"sequential calls",
       true,
       {replace(1, 2, 0, 1, "A", kAcknowledged), retrieve(3, 4, 1, "A"), replace(5, 6, 1, 4, "B", kAcknowledged),
        retrieve(7, 8, 4, "B")}},
      {"a read during a change may return the old configuration",
       true,
       {replace(1, 9, 0, 1, "A", kAcknowledged), retrieve(2, 3, 0, "")}},
      {"a read during a change may return the new configuration",
       true,
       {replace(1, 9, 0, 1, "A", kAcknowledged), retrieve(2, 3, 1, "A"), retrieve(4, 5, 1, "A")}},
      {"a read returns the old configuration after another read has returned the new one",
       false,
       {replace(1, 9, 0, 1, "A", kAcknowledged), retrieve(2, 3, 1, "A"), retrieve(4, 5, 0, "")}},
      {"a stale read",
       false,
       {replace(1, 2, 0, 1, "A", kAcknowledged), replace(3, 4, 1, 2, "B", kAcknowledged), retrieve(5, 6, 1, "A")}},
      {"two changes accepted on one base version",
       false,
       {replace(1, 2, 0, 1, "A", kAcknowledged), replace(3, 9, 1, 2, "B", kAcknowledged),
        replace(4, 8, 1, 3, "C", kAcknowledged)}},
      {"two changes accepted with one version number",
       false,
       {replace(1, 2, 0, 1, "A", kAcknowledged), replace(3, 9, 1, 2, "B", kAcknowledged),
        replace(4, 8, 1, 2, "C", kAcknowledged)}},
      {"of two changes with one version number one is rejected",
       true,
       {replace(1, 2, 0, 1, "A", kAcknowledged), replace(3, 9, 1, 2, "B", kAcknowledged),
        replace(4, 8, 1, 2, "C", kOtherVersion)}},
      {"a change rejected although no other was accepted",
       false,
       {replace(1, 2, 0, 1, "A", kAcknowledged), replace(3, 4, 1, 2, "B", kOtherVersion)}},
      {"an acknowledged change is not visible",
       false,
       {replace(1, 2, 0, 1, "A", kAcknowledged), retrieve(3, 4, 0, "")}},
      {"a lost answer, accepted", true, {lostReplace(1, 0, 1, "A"), retrieve(3, 4, 1, "A")}},
      {"a lost answer, never accepted", true, {lostReplace(1, 0, 1, "A"), retrieve(3, 4, 0, "")}},
      {"a lost answer, accepted late",
       true,
       {lostReplace(1, 0, 1, "A"), retrieve(3, 4, 0, ""), retrieve(5, 6, 1, "A")}},
      {"a change is visible before it was sent", false, {retrieve(1, 2, 1, "A"), lostReplace(3, 0, 1, "A")}},
      {"a retry after a lost answer is acknowledged",
       true,
       {lostReplace(1, 0, 1, "A"), replace(3, 4, 0, 1, "A", kAcknowledged)}},
      {"a retry of an accepted change is rejected",
       false,
       {replace(1, 2, 0, 1, "A", kAcknowledged), replace(3, 4, 0, 1, "A", kOtherVersion)}},
      {"a retry is acknowledged after a later change",
       true,
       {replace(1, 2, 0, 1, "A", kAcknowledged), replace(3, 4, 1, 2, "B", kAcknowledged),
        replace(5, 6, 0, 1, "A", kAcknowledged), retrieve(7, 8, 2, "B")}},
      {"a retry after a later change takes effect again",
       false,
       {replace(1, 2, 0, 1, "A", kAcknowledged), replace(3, 4, 1, 2, "B", kAcknowledged),
        replace(5, 6, 0, 1, "A", kAcknowledged), retrieve(7, 8, 1, "A")}},
      {"a change is rejected because of a change whose answer was lost",
       true,
       {replace(1, 2, 0, 1, "A", kAcknowledged), lostReplace(3, 1, 2, "B"), replace(4, 5, 1, 3, "C", kOtherVersion),
        retrieve(6, 7, 2, "B")}},
      {"a change is rejected because of a change that never takes effect",
       false,
       {replace(1, 2, 0, 1, "A", kAcknowledged), lostReplace(3, 1, 2, "B"), replace(4, 5, 1, 3, "C", kOtherVersion),
        retrieve(6, 7, 1, "A")}},
      {"a change with a version below its base is invalid",
       true,
       {replace(1, 2, 0, 3, "A", kAcknowledged), replace(3, 4, 3, 2, "B", kInvalid)}},
      {"a valid change is rejected as invalid",
       false,
       {replace(1, 2, 0, 3, "A", kAcknowledged), replace(3, 4, 3, 4, "B", kInvalid)}},
  };
  for (const auto& example : examples) {
    const auto result = checkLinearizable(example.history);
    EXPECT_EQ(result.linearizable, example.linearizable) << example.what << "\n" << result.explanation;
    EXPECT_EQ(result.explanation.empty(), example.linearizable) << example.what;
  }
}

namespace {
// Runs the checker on a fiber, as the trial does. A fiber's stack is small.
LinearizabilityResult checkOnFiber(const std::vector<OperatorCall>& history) {
  LinearizabilityResult result;
  auto& loop = EventLoop::get();
  loop.spawn([&] {
    result = checkLinearizable(history);
    loop.stop();
  });
  loop.run();
  return result;
}
// A sequential history of changes, each followed by a Retrieve that returns the change.
std::vector<OperatorCall> longHistory(std::int64_t changes) {
  std::vector<OperatorCall> history;
  std::int64_t now = 0;
  for (std::int64_t version = 1; version <= changes; ++version) {
    const auto body = "body " + std::to_string(version);
    history.push_back(replace(now + 1, now + 2, version - 1, version, body, kAcknowledged));
    history.push_back(retrieve(now + 3, now + 4, version, body));
    now += 4;
  }
  return history;
}
}  // namespace

// Regression: a recursive search with one stack frame for each change overflowed the fiber's stack in a trial of
// default length.
TEST(Linearizability, AHistoryOfThousandsOfChangesIsCheckedOnAFiber) {
  constexpr std::int64_t kChanges = 2000;
  auto history = longHistory(kChanges);
  const auto result = checkOnFiber(history);
  EXPECT_TRUE(result.linearizable) << result.explanation;
  EXPECT_GE(result.statesVisited, static_cast<std::size_t>(kChanges));
  // With a stale read at the end of the history, the search has to backtrack through all levels before it fails.
  const auto end = history.back().ended;
  history.push_back(retrieve(end + 1, end + 2, 1, "body 1"));
  const auto stale = checkOnFiber(history);
  EXPECT_FALSE(stale.linearizable);
  EXPECT_NE(stale.explanation.find("Retrieve of version 1: read body 1"), std::string::npos) << stale.explanation;
}

namespace {
// Generates linearizable histories: each call takes effect at `moment`, which lies between the call's start and end.
struct LinearizableRegister {
  std::mt19937_64 random;
  ReplicatedState replica;
  std::int64_t applied = 0;
  std::vector<OperatorCall> history;
  explicit LinearizableRegister(std::uint64_t seed) : random(seed) {}

  void replace(std::int64_t moment, std::int64_t base, std::int64_t version, const std::string& body) {
    auto entry = configurationEntry(base, version, body, std::to_string(moment));
    entry.index = ++applied;
    replica.apply(entry);
    const auto outcome = *replica.outcomeOf(entry.operationId);
    if (random() % 4 == 0)
      return history.push_back(lostReplace(moment - drawHalfDuration(), base, version, body));
    using Verdict = ReplicatedState::Verdict;
    const auto answer = outcome == Verdict::acknowledged     ? kAcknowledged
                        : outcome == Verdict::invalidVersion ? kInvalid
                                                             : kOtherVersion;
    history.push_back(::replace(moment - drawHalfDuration(), moment + drawHalfDuration(), base, version, body, answer));
  }
  void retrieve(std::int64_t moment) {
    history.push_back(::retrieve(moment - drawHalfDuration(), moment + drawHalfDuration(), replica.state().version,
                                 replica.state().configuration));
  }
  // 1 to 40. With one call every 10 units of time, about eight calls overlap at any moment.
  std::int64_t drawHalfDuration() { return 1 + static_cast<std::int64_t>(random() % 40); }
  void run(int calls) {
    std::vector<std::tuple<std::int64_t, std::int64_t, std::string>> sent;
    for (int i = 1; i <= calls; ++i) {
      const auto moment = i * 10;
      const auto base = replica.state().version;
      if (random() % 3 == 0) {
        retrieve(moment);
      } else if (!sent.empty() && random() % 3 == 0) {
        const auto& [b, v, body] = sent[random() % sent.size()];
        replace(moment, b, v, body);
      } else {
        const auto on = random() % 4 ? base : base - 1;
        const auto version = on + static_cast<std::int64_t>(random() % 4);
        sent.emplace_back(on, version, "body " + std::to_string(random() % 1000));
        replace(moment, on, version, std::get<2>(sent.back()));
      }
    }
  }
};
}  // namespace

TEST(Linearizability, HistoriesOfALinearizableRegisterAreAccepted) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    LinearizableRegister reference(seed);
    reference.run(150);
    const auto result = checkLinearizable(reference.history);
    EXPECT_TRUE(result.linearizable) << "seed " << seed << ": " << result.explanation;
  }
}
TEST(Linearizability, AnInjectedStaleReadOrLostUpdateIsFound) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    LinearizableRegister reference(seed);
    reference.run(60);
    const auto oldVersion = reference.replica.state().version;
    const auto oldBody = reference.replica.state().configuration;
    reference.replace(10'000, oldVersion, oldVersion + 1, "acknowledged");
    reference.history.back().answer = kAcknowledged;
    reference.history.back().ended = 10'100;
    auto stale = reference.history;
    stale.push_back(retrieve(10'200, 10'210, oldVersion, oldBody));
    EXPECT_FALSE(checkLinearizable(stale).linearizable) << "seed " << seed;
    auto lostUpdate = reference.history;
    lostUpdate.push_back(replace(10'200, 10'210, oldVersion, oldVersion + 2, "over it", kAcknowledged));
    EXPECT_FALSE(checkLinearizable(lostUpdate).linearizable) << "seed " << seed;
    reference.history.push_back(retrieve(10'200, 10'210, oldVersion + 1, "acknowledged"));
    EXPECT_TRUE(checkLinearizable(reference.history).linearizable) << "seed " << seed;
  }
}

namespace {
const std::vector<std::string> kFounders = {"10.1.0.1", "10.2.0.1", "10.3.0.1"};
enum class InjectedFault { nothing, staleRead, earlyAcknowledgement };

// Simulated operators of a simulated cluster. They read and change the configuration through random machines and record
// every call. `InjectedFault` selects an incorrect behavior of the machines.
class Operators {
 public:
  Operators(SimulatedCluster& cluster, InjectedFault fault)
      : cluster_(cluster), random_(cluster.seed * 77 + 1), fault_(fault) {}
  void start(int count, TimePoint until) {
    until_ = until;
    for (int i = 0; i < count; ++i)
      read("operator " + std::to_string(i));
  }
  const std::vector<OperatorCall>& history() const { return recorder_.calls(); }

 private:
  struct ReplaceRequest {
    std::int64_t base = 0, version = 0;
    std::string body;
  };
  static constexpr Duration kPollInterval{20}, kWriteTimeout{2500}, kReadTimeout{900};
  static constexpr int kAttempts = 6;

  std::int64_t nowMs() const { return std::chrono::duration_cast<Duration>(cluster_.now.time_since_epoch()).count(); }
  std::string drawMachine() { return kFounders[random_() % kFounders.size()]; }
  SimulatedCluster::Node& machine(const std::string& ip) { return cluster_.nodes[ip]; }
  bool isRunning(const std::string& ip, int incarnation) {
    auto& node = machine(ip);
    return node.up && node.incarnation == incarnation;
  }
  bool drawLostAnswer() { return random_() % 4 == 0; }
  void schedule(Duration wait, std::function<void()> next) { cluster_.schedule(wait, std::move(next)); }

  // Reads the configuration at a random machine and then sends a change that is based on the version read. Repeats the
  // read if no answer is received.
  void read(const std::string& who) {
    if (cluster_.now >= until_)
      return;
    const auto ip = drawMachine();
    const auto call = recorder_.retrieveSent(who, nowMs());
    awaitReadIndex(ip, machine(ip).incarnation, cluster_.now + kReadTimeout, [this, who, ip, call](bool fresh) {
      if (!fresh || drawLostAnswer())
        return schedule(Duration(200), [this, who] { read(who); });
      const auto& state = machine(ip).replica.state();
      recorder_.retrieveAnswered(call, nowMs(), state.version, state.configuration);
      // Two operators may choose the same version number.
      const ReplaceRequest request{state.version, state.version + 1 + static_cast<std::int64_t>(random_() % 2),
                                   "by " + who + " at " + std::to_string(nowMs())};
      schedule(Duration(random_() % 400), [this, who, request] { send(who, request, kAttempts); });
    });
  }
  // Sends a change to random machines until a status is received or no attempts are left, then reads again.
  void send(const std::string& who, const ReplaceRequest& request, int attemptsLeft) {
    if (attemptsLeft == 0 || cluster_.now >= until_)
      return read(who);
    const auto ip = drawMachine();
    const auto call = recorder_.replaceSent(who, nowMs(), request.base, request.version, request.body);
    sendReplace(ip, request, [this, who, request, attemptsLeft, call](int status) {
      if (status != 0 && !drawLostAnswer()) {
        recorder_.replaceAnswered(call, nowMs(), status);
        if (random_() % 5 == 0)
          sendDelayedDuplicate(who, request);
        return schedule(Duration(100), [this, who] { read(who); });
      }
      schedule(Duration(150), [this, who, request, attemptsLeft] { send(who, request, attemptsLeft - 1); });
    });
  }
  // Sends the same request again after 2 to 10 s, like a duplicate that was delayed in the network.
  void sendDelayedDuplicate(const std::string& who, const ReplaceRequest& request) {
    schedule(Duration(2000 + random_() % 8000), [this, who, request] {
      const auto call = recorder_.replaceSent(who + ", late", nowMs(), request.base, request.version, request.body);
      sendReplace(drawMachine(), request,
                  [this, call](int status) { recorder_.replaceAnswered(call, nowMs(), status); });
    });
  }

  // The numeric value of a verdict is the HTTP status of the answer.
  static int statusOf(ReplicatedState::Verdict verdict) { return static_cast<int>(verdict); }
  // Simulates how a machine handles a Replace. Passes the HTTP status to `answer`, or 0 if the outcome is unknown.
  void sendReplace(const std::string& ip, const ReplaceRequest& request, const std::function<void(int)>& answer) {
    auto& node = machine(ip);
    if (!node.up || node.paused)
      return schedule(Duration(1000), [answer] { answer(0); });
    if (node.replica.evaluateReplace(request.base, request.version, digestOf(request.body)) ==
        ReplicatedState::Verdict::acknowledged)
      return answer(statusOf(ReplicatedState::Verdict::acknowledged));
    const auto entry =
        configurationEntry(request.base, request.version, request.body, "write/" + std::to_string(++writes_));
    cluster_.attemptWrite(ip, node.incarnation, entry,
                          static_cast<int>(kWriteTimeout / SimulatedCluster::kWriteRetryInterval));
    if (fault_ == InjectedFault::earlyAcknowledgement && node.replica.state().version == request.base)
      return schedule(Duration(5), [answer] { answer(statusOf(ReplicatedState::Verdict::acknowledged)); });
    awaitOutcome(ip, node.incarnation, entry.operationId, cluster_.now + kWriteTimeout, answer);
  }
  // Polls the replica until it has applied the operation; passes 0 to `answer` if the machine restarts or time runs
  // out.
  void awaitOutcome(const std::string& ip, int incarnation, const std::string& operation, TimePoint until,
                    const std::function<void(int)>& answer) {
    if (!isRunning(ip, incarnation) || cluster_.now >= until)
      return answer(0);
    if (const auto outcome = machine(ip).replica.outcomeOf(operation); outcome && !machine(ip).paused)
      return answer(statusOf(*outcome));
    schedule(kPollInterval, [=, this] { awaitOutcome(ip, incarnation, operation, until, answer); });
  }
  // Simulates what a machine does before it answers a Retrieve: a leader with a lease answers immediately; any other
  // machine requests the read index from the leader and waits until it has applied that index.
  void awaitReadIndex(const std::string& ip, int incarnation, TimePoint until,
                      const std::function<void(bool)>& answer) {
    if (!isRunning(ip, incarnation) || machine(ip).paused || cluster_.now >= until)
      return answer(false);
    if (fault_ == InjectedFault::staleRead || machine(ip).raft->hasLease(cluster_.now))
      return answer(true);
    const auto leader = addressOf(machine(ip).raft->leader());
    const auto again = [=, this] { awaitReadIndex(ip, incarnation, until, answer); };
    if (leader.empty() || cluster_.cutLinks.contains({ip, leader}))
      return schedule(Duration(50), again);
    schedule(Duration(2), [=, this] {
      auto& leading = machine(leader);
      if (!leading.up || leading.paused || !leading.raft->hasLease(cluster_.now) ||
          cluster_.cutLinks.contains({leader, ip}))
        return schedule(Duration(50), again);
      const auto readIndex = leading.raft->commitIndex();
      schedule(Duration(2), [=, this] { awaitIndex(ip, incarnation, readIndex, until, answer); });
    });
  }
  // Polls the replica until it has applied the entries up to `readIndex`.
  void awaitIndex(const std::string& ip, int incarnation, std::int64_t readIndex, TimePoint until,
                  const std::function<void(bool)>& answer) {
    if (!isRunning(ip, incarnation) || cluster_.now >= until)
      return answer(false);
    if (!machine(ip).paused && machine(ip).replica.state().index >= readIndex)
      return answer(true);
    schedule(kPollInterval, [=, this] { awaitIndex(ip, incarnation, readIndex, until, answer); });
  }

  SimulatedCluster& cluster_;
  std::mt19937_64 random_;
  InjectedFault fault_;
  TimePoint until_{};
  OperatorRecorder recorder_;
  int writes_ = 0;
};
// Applies one fault to a random machine and lifts the fault after 0.5 to 4.5 s: crash and restart, network isolation,
// pause, or slow disk.
void injectFaults(SimulatedCluster& cluster) {
  const auto& ip = kFounders[cluster.draw(kFounders.size())];
  const Duration lasting(500 + cluster.draw(4000));
  switch (cluster.draw(4)) {
    case 0:
      cluster.crash(ip);
      cluster.schedule(lasting, [&cluster, ip] { cluster.start(ip, kFounders, false); });
      break;
    case 1:
      cluster.isolate(ip, cluster.draw(2) == 0);
      cluster.schedule(lasting, [&cluster] { cluster.cutLinks.clear(); });
      break;
    case 2:
      cluster.nodes[ip].paused = true;
      cluster.schedule(lasting, [&cluster, ip] { cluster.nodes[ip].paused = false; });
      break;
    default:
      cluster.nodes[ip].syncTime = Duration(600);
      cluster.schedule(lasting, [&cluster, ip] { cluster.nodes[ip].syncTime = Duration(4); });
      break;
  }
  cluster.runFor(lasting + Duration(cluster.draw(3000)));
}
// Runs four operators for 40 s of simulated time while faults are injected, and returns the recorded calls.
std::vector<OperatorCall> recordedHistory(std::uint64_t seed, InjectedFault fault) {
  SimulatedCluster cluster(seed);
  cluster.lossRate = seed % 2 ? 0.03 : 0.0;
  for (auto& ip : kFounders)
    cluster.start(ip, kFounders, true);
  cluster.runFor(4000ms);
  Operators operators(cluster, fault);
  operators.start(4, cluster.now + 40s);
  for (const auto end = cluster.now + 40s; cluster.now < end;)
    injectFaults(cluster);
  cluster.runFor(8000ms);
  EXPECT_TRUE(cluster.violations.empty()) << "seed " << seed << ": " << cluster.violations.front();
  return operators.history();
}
// Number of acknowledged Replace calls.
std::ptrdiff_t acknowledged(const std::vector<OperatorCall>& history) {
  return std::count_if(history.begin(), history.end(),
                       [](auto& call) { return call.kind == Kind::replace && call.answer == kAcknowledged; });
}
constexpr std::uint64_t kWorlds = 30;
// Number of seeds whose recorded history is linearizable.
int countLinearizableWorlds(InjectedFault fault) {
  int explained = 0;
  for (std::uint64_t seed = 1; seed <= kWorlds; ++seed)
    explained += checkLinearizable(recordedHistory(seed, fault)).linearizable;
  return explained;
}
}  // namespace

TEST(Linearizability, OperatorHistoriesInSeededWorldsAreLinearizable) {
  std::ptrdiff_t calls = 0;
  std::ptrdiff_t changes = 0;
  for (std::uint64_t seed = 1; seed <= kWorlds; ++seed) {
    const auto history = recordedHistory(seed, InjectedFault::nothing);
    const auto result = checkLinearizable(history);
    EXPECT_TRUE(result.linearizable) << "seed " << seed << ": " << result.explanation;
    calls += static_cast<std::ptrdiff_t>(history.size());
    changes += acknowledged(history);
  }
  RecordProperty("calls", static_cast<int>(calls));
  RecordProperty("changes", static_cast<int>(changes));
  EXPECT_GT(changes, static_cast<std::ptrdiff_t>(kWorlds) * 20) << "of " << calls << " calls";
}
TEST(Linearizability, ReadsWithoutTheLeaderAreFound) {
  EXPECT_LT(countLinearizableWorlds(InjectedFault::staleRead), static_cast<int>(kWorlds) / 2);
}
TEST(Linearizability, WritesAcknowledgedBeforeCommitAreFound) {
  EXPECT_LT(countLinearizableWorlds(InjectedFault::earlyAcknowledgement), static_cast<int>(kWorlds) / 2);
}
