/// Operator calls are linearizable: the checker by itself, and over histories recorded on seeded clusters, in which
/// several operators change and read the configuration at any node, answers are lost and requests are retried.
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
      {"nothing", true, {}},
      {"one after the other",
       true,
       {replace(1, 2, 0, 1, "A", kAcknowledged), retrieve(3, 4, 1, "A"), replace(5, 6, 1, 4, "B", kAcknowledged),
        retrieve(7, 8, 4, "B")}},
      {"a read beside a change may see either", true, {replace(1, 9, 0, 1, "A", kAcknowledged), retrieve(2, 3, 0, "")}},
      {"or the new one",
       true,
       {replace(1, 9, 0, 1, "A", kAcknowledged), retrieve(2, 3, 1, "A"), retrieve(4, 5, 1, "A")}},
      {"but none goes back",
       false,
       {replace(1, 9, 0, 1, "A", kAcknowledged), retrieve(2, 3, 1, "A"), retrieve(4, 5, 0, "")}},
      {"a stale read",
       false,
       {replace(1, 2, 0, 1, "A", kAcknowledged), replace(3, 4, 1, 2, "B", kAcknowledged), retrieve(5, 6, 1, "A")}},
      {"two accepted on one version",
       false,
       {replace(1, 2, 0, 1, "A", kAcknowledged), replace(3, 9, 1, 2, "B", kAcknowledged),
        replace(4, 8, 1, 3, "C", kAcknowledged)}},
      {"two under one number",
       false,
       {replace(1, 2, 0, 1, "A", kAcknowledged), replace(3, 9, 1, 2, "B", kAcknowledged),
        replace(4, 8, 1, 2, "C", kAcknowledged)}},
      {"one of the two rejected",
       true,
       {replace(1, 2, 0, 1, "A", kAcknowledged), replace(3, 9, 1, 2, "B", kAcknowledged),
        replace(4, 8, 1, 2, "C", kOtherVersion)}},
      {"rejected though nothing else was accepted",
       false,
       {replace(1, 2, 0, 1, "A", kAcknowledged), replace(3, 4, 1, 2, "B", kOtherVersion)}},
      {"acknowledged and lost", false, {replace(1, 2, 0, 1, "A", kAcknowledged), retrieve(3, 4, 0, "")}},
      {"a lost answer, accepted", true, {lostReplace(1, 0, 1, "A"), retrieve(3, 4, 1, "A")}},
      {"a lost answer, never accepted", true, {lostReplace(1, 0, 1, "A"), retrieve(3, 4, 0, "")}},
      {"a lost answer, accepted late",
       true,
       {lostReplace(1, 0, 1, "A"), retrieve(3, 4, 0, ""), retrieve(5, 6, 1, "A")}},
      {"but not before it was sent", false, {retrieve(1, 2, 1, "A"), lostReplace(3, 0, 1, "A")}},
      {"retried and acknowledged", true, {lostReplace(1, 0, 1, "A"), replace(3, 4, 0, 1, "A", kAcknowledged)}},
      {"retried and rejected though it was accepted",
       false,
       {replace(1, 2, 0, 1, "A", kAcknowledged), replace(3, 4, 0, 1, "A", kOtherVersion)}},
      {"retried after others",
       true,
       {replace(1, 2, 0, 1, "A", kAcknowledged), replace(3, 4, 1, 2, "B", kAcknowledged),
        replace(5, 6, 0, 1, "A", kAcknowledged), retrieve(7, 8, 2, "B")}},
      {"retried and in force again",
       false,
       {replace(1, 2, 0, 1, "A", kAcknowledged), replace(3, 4, 1, 2, "B", kAcknowledged),
        replace(5, 6, 0, 1, "A", kAcknowledged), retrieve(7, 8, 1, "A")}},
      {"rejected by a change whose answer was lost",
       true,
       {replace(1, 2, 0, 1, "A", kAcknowledged), lostReplace(3, 1, 2, "B"), replace(4, 5, 1, 3, "C", kOtherVersion),
        retrieve(6, 7, 2, "B")}},
      {"rejected by a change that then never was",
       false,
       {replace(1, 2, 0, 1, "A", kAcknowledged), lostReplace(3, 1, 2, "B"), replace(4, 5, 1, 3, "C", kOtherVersion),
        retrieve(6, 7, 1, "A")}},
      {"invalid", true, {replace(1, 2, 0, 3, "A", kAcknowledged), replace(3, 4, 3, 2, "B", kInvalid)}},
      {"called invalid though it is not",
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
// Runs the check where the trial runs it: on a fiber, whose stack is small.
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
// One change after the other, each read back.
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

// Found by the trial at its default length: a search that called itself once a change overran a fiber's stack.
TEST(Linearizability, AHistoryOfThousandsOfChangesIsCheckedOnAFiber) {
  constexpr std::int64_t kChanges = 2000;
  auto history = longHistory(kChanges);
  const auto result = checkOnFiber(history);
  EXPECT_TRUE(result.linearizable) << result.explanation;
  EXPECT_GE(result.statesVisited, static_cast<std::size_t>(kChanges));
  // A stale read at the very end: the search goes all the way back before it says no.
  const auto end = history.back().ended;
  history.push_back(retrieve(end + 1, end + 2, 1, "body 1"));
  const auto stale = checkOnFiber(history);
  EXPECT_FALSE(stale.linearizable);
  EXPECT_NE(stale.explanation.find("Retrieve of version 1: read body 1"), std::string::npos) << stale.explanation;
}

namespace {
// Histories of a register that is one: each call takes effect at a moment between its sending and its answer.
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
  // So that some eight calls overlap.
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

// Operators of a seeded cluster. Every call to its machines goes through the few functions below.
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

  // An operator reads what is in force, builds on it, and sends that until it has a clear answer.
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
      // Two operators may well pick one version number.
      const ReplaceRequest request{state.version, state.version + 1 + static_cast<std::int64_t>(random_() % 2),
                                   "by " + who + " at " + std::to_string(nowMs())};
      schedule(Duration(random_() % 400), [this, who, request] { send(who, request, kAttempts); });
    });
  }
  void send(const std::string& who, const ReplaceRequest& request, int attemptsLeft) {
    if (attemptsLeft == 0 || cluster_.now >= until_)
      return read(who);
    const auto ip = drawMachine();
    const auto call = recorder_.replaceSent(who, nowMs(), request.base, request.version, request.body);
    sendReplace(ip, request, [this, who, request, attemptsLeft, call](int status) {
      if (status != 0 && !drawLostAnswer()) {
        recorder_.replaceAnswered(call, nowMs(), status);
        if (random_() % 5 == 0)
          retryLate(who, request);
        return schedule(Duration(100), [this, who] { read(who); });
      }
      schedule(Duration(150), [this, who, request, attemptsLeft] { send(who, request, attemptsLeft - 1); });
    });
  }
  // The same request once more, long after: a copy that was delayed in the network.
  void retryLate(const std::string& who, const ReplaceRequest& request) {
    schedule(Duration(2000 + random_() % 8000), [this, who, request] {
      const auto call = recorder_.replaceSent(who + ", late", nowMs(), request.base, request.version, request.body);
      sendReplace(drawMachine(), request,
                  [this, call](int status) { recorder_.replaceAnswered(call, nowMs(), status); });
    });
  }

  // A verdict is the status of its answer.
  static int statusOf(ReplicatedState::Verdict verdict) { return static_cast<int>(verdict); }
  // What a machine does with a Replace; the status is 0 without a clear answer.
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
  void awaitOutcome(const std::string& ip, int incarnation, const std::string& operation, TimePoint until,
                    const std::function<void(int)>& answer) {
    if (!isRunning(ip, incarnation) || cluster_.now >= until)
      return answer(0);
    if (const auto outcome = machine(ip).replica.outcomeOf(operation); outcome && !machine(ip).paused)
      return answer(statusOf(*outcome));
    schedule(kPollInterval, [=, this] { awaitOutcome(ip, incarnation, operation, until, answer); });
  }
  // What a machine does before it answers a Retrieve: it leads under a lease, or asks the leader for its read index.
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
// One machine in trouble at a time: killed and back, cut off, frozen, or with a slow disk.
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
std::ptrdiff_t acknowledged(const std::vector<OperatorCall>& history) {
  return std::count_if(history.begin(), history.end(),
                       [](auto& call) { return call.kind == Kind::replace && call.answer == kAcknowledged; });
}
constexpr std::uint64_t kWorlds = 30;
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
