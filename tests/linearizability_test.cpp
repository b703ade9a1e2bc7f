// The operators' side is linearizable: the check by itself, and over histories recorded in seeded worlds in which
// several operators change and read the configuration at any node, answers are lost and orders are sent again.
#include "simulation/linearizability.hpp"

#include <gtest/gtest.h>

#include <random>

#include "simulated_cluster.hpp"

using namespace zinccleat;
using namespace zinccleat::consensus;
using namespace zinccleat::simulation;
using namespace zinccleat::state_machine;
using zinccleat::sim::World;
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
constexpr auto kTaken = Answer::acknowledged, kOther = Answer::otherVersion, kInvalid = Answer::invalid;
struct Example {
  const char* what;
  bool linearizable;
  std::vector<OperatorCall> history;
};
}  // namespace

TEST(Linearizability, ExamplesAreToldApart) {
  const std::vector<Example> examples = {
      {"nothing", true, {}},
      {"one after the other",
       true,
       {replace(1, 2, 0, 1, "A", kTaken), retrieve(3, 4, 1, "A"), replace(5, 6, 1, 4, "B", kTaken),
        retrieve(7, 8, 4, "B")}},
      {"a read beside a change may see either", true, {replace(1, 9, 0, 1, "A", kTaken), retrieve(2, 3, 0, "")}},
      {"or the new one", true, {replace(1, 9, 0, 1, "A", kTaken), retrieve(2, 3, 1, "A"), retrieve(4, 5, 1, "A")}},
      {"but none goes back", false, {replace(1, 9, 0, 1, "A", kTaken), retrieve(2, 3, 1, "A"), retrieve(4, 5, 0, "")}},
      {"a stale read",
       false,
       {replace(1, 2, 0, 1, "A", kTaken), replace(3, 4, 1, 2, "B", kTaken), retrieve(5, 6, 1, "A")}},
      {"two taken on one version",
       false,
       {replace(1, 2, 0, 1, "A", kTaken), replace(3, 9, 1, 2, "B", kTaken), replace(4, 8, 1, 3, "C", kTaken)}},
      {"two under one number",
       false,
       {replace(1, 2, 0, 1, "A", kTaken), replace(3, 9, 1, 2, "B", kTaken), replace(4, 8, 1, 2, "C", kTaken)}},
      {"one of the two refused",
       true,
       {replace(1, 2, 0, 1, "A", kTaken), replace(3, 9, 1, 2, "B", kTaken), replace(4, 8, 1, 2, "C", kOther)}},
      {"refused though nothing else was taken",
       false,
       {replace(1, 2, 0, 1, "A", kTaken), replace(3, 4, 1, 2, "B", kOther)}},
      {"acknowledged and lost", false, {replace(1, 2, 0, 1, "A", kTaken), retrieve(3, 4, 0, "")}},
      {"a lost answer, taken", true, {lostReplace(1, 0, 1, "A"), retrieve(3, 4, 1, "A")}},
      {"a lost answer, never taken", true, {lostReplace(1, 0, 1, "A"), retrieve(3, 4, 0, "")}},
      {"a lost answer, taken late", true, {lostReplace(1, 0, 1, "A"), retrieve(3, 4, 0, ""), retrieve(5, 6, 1, "A")}},
      {"but not before it was sent", false, {retrieve(1, 2, 1, "A"), lostReplace(3, 0, 1, "A")}},
      {"sent again and acknowledged", true, {lostReplace(1, 0, 1, "A"), replace(3, 4, 0, 1, "A", kTaken)}},
      {"sent again and refused though it was taken",
       false,
       {replace(1, 2, 0, 1, "A", kTaken), replace(3, 4, 0, 1, "A", kOther)}},
      {"sent again after others",
       true,
       {replace(1, 2, 0, 1, "A", kTaken), replace(3, 4, 1, 2, "B", kTaken), replace(5, 6, 0, 1, "A", kTaken),
        retrieve(7, 8, 2, "B")}},
      {"sent again and in force again",
       false,
       {replace(1, 2, 0, 1, "A", kTaken), replace(3, 4, 1, 2, "B", kTaken), replace(5, 6, 0, 1, "A", kTaken),
        retrieve(7, 8, 1, "A")}},
      {"refused by a change whose answer was lost",
       true,
       {replace(1, 2, 0, 1, "A", kTaken), lostReplace(3, 1, 2, "B"), replace(4, 5, 1, 3, "C", kOther),
        retrieve(6, 7, 2, "B")}},
      {"refused by a change that then never was",
       false,
       {replace(1, 2, 0, 1, "A", kTaken), lostReplace(3, 1, 2, "B"), replace(4, 5, 1, 3, "C", kOther),
        retrieve(6, 7, 1, "A")}},
      {"invalid", true, {replace(1, 2, 0, 3, "A", kTaken), replace(3, 4, 3, 2, "B", kInvalid)}},
      {"called invalid though it is not",
       false,
       {replace(1, 2, 0, 3, "A", kTaken), replace(3, 4, 3, 4, "B", kInvalid)}},
  };
  for (auto& e : examples) {
    const auto result = checkLinearizable(e.history);
    EXPECT_EQ(result.linearizable, e.linearizable) << e.what << "\n" << result.explanation;
    EXPECT_EQ(result.explanation.empty(), e.linearizable) << e.what;
  }
}

namespace {
// Histories of a register that is one: each call takes effect at a moment between its sending and its answer.
struct TrueRegister {
  std::mt19937_64 random;
  ReplicatedState copy;
  std::int64_t applied = 0;
  std::vector<OperatorCall> history;
  explicit TrueRegister(std::uint64_t seed) : random(seed) {}

  void replace(std::int64_t moment, std::int64_t base, std::int64_t version, const std::string& body) {
    auto e = configurationEntry(base, version, body, std::to_string(moment));
    e.index = ++applied;
    copy.apply(e);
    const auto verdict = *copy.outcomeOf(e.operationId);
    if (random() % 4 == 0)
      return history.push_back(lostReplace(moment - early(), base, version, body));
    const auto answer = verdict == 200 ? kTaken : verdict == 400 ? kInvalid : kOther;
    history.push_back(::replace(moment - early(), moment + early(), base, version, body, answer));
  }
  void retrieve(std::int64_t moment) {
    history.push_back(::retrieve(moment - early(), moment + early(), copy.state().version, copy.state().configuration));
  }
  // So that some eight calls overlap.
  std::int64_t early() { return 1 + static_cast<std::int64_t>(random() % 40); }
  void run(int calls) {
    std::vector<std::tuple<std::int64_t, std::int64_t, std::string>> sent;
    for (int i = 1; i <= calls; ++i) {
      const auto moment = i * 10;
      const auto base = copy.state().version;
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

TEST(Linearizability, HistoriesOfATrueRegisterAreExplained) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    TrueRegister r(seed);
    r.run(150);
    const auto result = checkLinearizable(r.history);
    EXPECT_TRUE(result.linearizable) << "seed " << seed << ": " << result.explanation;
  }
}
TEST(Linearizability, AStaleReadAndALostUpdatePlantedInThemAreFound) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    TrueRegister r(seed);
    r.run(60);
    const auto oldVersion = r.copy.state().version;
    const auto oldBody = r.copy.state().configuration;
    r.replace(10'000, oldVersion, oldVersion + 1, "acknowledged");
    r.history.back().answer = kTaken;
    r.history.back().ended = 10'100;
    auto stale = r.history;
    stale.push_back(retrieve(10'200, 10'210, oldVersion, oldBody));
    EXPECT_FALSE(checkLinearizable(stale).linearizable) << "seed " << seed;
    auto lostUpdate = r.history;
    lostUpdate.push_back(replace(10'200, 10'210, oldVersion, oldVersion + 2, "over it", kTaken));
    EXPECT_FALSE(checkLinearizable(lostUpdate).linearizable) << "seed " << seed;
    r.history.push_back(retrieve(10'200, 10'210, oldVersion + 1, "acknowledged"));
    EXPECT_TRUE(checkLinearizable(r.history).linearizable) << "seed " << seed;
  }
}

namespace {
const std::vector<std::string> kFounders = {"10.1.0.1", "10.2.0.1", "10.3.0.1"};
enum class Planted { nothing, staleRead, earlyAcknowledgement };

// Operators beside a seeded world. Everything that they ask of its machines goes through the few functions below.
class Operators {
 public:
  Operators(World& world, Planted planted) : world_(world), random_(world.seed * 77 + 1), planted_(planted) {}
  void start(int count, TimePoint until) {
    until_ = until;
    for (int i = 0; i < count; ++i)
      read("operator " + std::to_string(i));
  }
  const std::vector<OperatorCall>& history() const { return recorder_.calls(); }

 private:
  struct Order {
    std::int64_t base = 0, version = 0;
    std::string body;
  };
  static constexpr Duration kPoll{20}, kWriteWait{2500}, kReadWait{900};
  static constexpr int kTries = 6;

  std::int64_t at() const { return std::chrono::duration_cast<Duration>(world_.now.time_since_epoch()).count(); }
  std::string anyMachine() { return kFounders[random_() % kFounders.size()]; }
  World::Node& machine(const std::string& ip) { return world_.nodes[ip]; }
  bool runs(const std::string& ip, int life) {
    auto& m = machine(ip);
    return m.up && m.life == life;
  }
  bool lost() { return random_() % 4 == 0; }
  void later(Duration wait, std::function<void()> next) { world_.at(wait, std::move(next)); }

  // An operator reads what is in force, builds on it, and sends that until it has a clear answer.
  void read(const std::string& who) {
    if (world_.now >= until_)
      return;
    const auto ip = anyMachine();
    const auto call = recorder_.retrieveSent(who, at());
    askForRead(ip, machine(ip).life, world_.now + kReadWait, [this, who, ip, call](bool fresh) {
      if (!fresh || lost())
        return later(Duration(200), [this, who] { read(who); });
      const auto& state = machine(ip).copy.state();
      recorder_.retrieveAnswered(call, at(), state.version, state.configuration);
      // Two operators may well pick one number.
      const Order order{state.version, state.version + 1 + static_cast<std::int64_t>(random_() % 2),
                        "by " + who + " at " + std::to_string(at())};
      later(Duration(random_() % 400), [this, who, order] { send(who, order, kTries); });
    });
  }
  void send(const std::string& who, const Order& order, int triesLeft) {
    if (triesLeft == 0 || world_.now >= until_)
      return read(who);
    const auto ip = anyMachine();
    const auto call = recorder_.replaceSent(who, at(), order.base, order.version, order.body);
    ask(ip, order, [this, who, order, triesLeft, call](int status) {
      if (status != 0 && !lost()) {
        recorder_.replaceAnswered(call, at(), status);
        if (random_() % 5 == 0)
          repeatLate(who, order);
        return later(Duration(100), [this, who] { read(who); });
      }
      later(Duration(150), [this, who, order, triesLeft] { send(who, order, triesLeft - 1); });
    });
  }
  // The same order once more, long after: a copy of it that lay somewhere.
  void repeatLate(const std::string& who, const Order& order) {
    later(Duration(2000 + random_() % 8000), [this, who, order] {
      const auto call = recorder_.replaceSent(who + ", late", at(), order.base, order.version, order.body);
      ask(anyMachine(), order, [this, call](int status) { recorder_.replaceAnswered(call, at(), status); });
    });
  }

  // What a machine does with a Replace: 0 without a clear answer.
  void ask(const std::string& ip, const Order& order, const std::function<void(int)>& answer) {
    auto& m = machine(ip);
    if (!m.up || m.frozen)
      return later(Duration(1000), [answer] { answer(0); });
    if (m.copy.evaluateReplace(order.base, order.version, digestOf(order.body)) == ReplicatedState::acknowledged)
      return answer(ReplicatedState::acknowledged);
    const auto e = configurationEntry(order.base, order.version, order.body, "write/" + std::to_string(++writes_));
    world_.tryWrite(ip, m.life, e, static_cast<int>(kWriteWait / Duration(120)));
    if (planted_ == Planted::earlyAcknowledgement && m.copy.state().version == order.base)
      return later(Duration(5), [answer] { answer(ReplicatedState::acknowledged); });
    awaitVerdict(ip, m.life, e.operationId, world_.now + kWriteWait, answer);
  }
  void awaitVerdict(const std::string& ip, int life, const std::string& operation, TimePoint until,
                    const std::function<void(int)>& answer) {
    if (!runs(ip, life) || world_.now >= until)
      return answer(0);
    if (const auto verdict = machine(ip).copy.outcomeOf(operation); verdict && !machine(ip).frozen)
      return answer(*verdict);
    later(kPoll, [=, this] { awaitVerdict(ip, life, operation, until, answer); });
  }
  // What a machine does before it answers a Retrieve: it leads under a lease, or asks the leader how far it must be.
  void askForRead(const std::string& ip, int life, TimePoint until, const std::function<void(bool)>& answer) {
    if (!runs(ip, life) || machine(ip).frozen || world_.now >= until)
      return answer(false);
    if (planted_ == Planted::staleRead || machine(ip).raft->hasLease(world_.now))
      return answer(true);
    const auto leader = addressOf(machine(ip).raft->leader());
    const auto again = [=, this] { askForRead(ip, life, until, answer); };
    if (leader.empty() || world_.cut.contains({ip, leader}))
      return later(Duration(50), again);
    later(Duration(2), [=, this] {
      auto& l = machine(leader);
      if (!l.up || l.frozen || !l.raft->hasLease(world_.now) || world_.cut.contains({leader, ip}))
        return later(Duration(50), again);
      const auto number = l.raft->commitIndex();
      later(Duration(2), [=, this] { awaitIndex(ip, life, number, until, answer); });
    });
  }
  void awaitIndex(const std::string& ip, int life, std::int64_t number, TimePoint until,
                  const std::function<void(bool)>& answer) {
    if (!runs(ip, life) || world_.now >= until)
      return answer(false);
    if (!machine(ip).frozen && machine(ip).copy.state().index >= number)
      return answer(true);
    later(kPoll, [=, this] { awaitIndex(ip, life, number, until, answer); });
  }

  World& world_;
  std::mt19937_64 random_;
  Planted planted_;
  TimePoint until_{};
  OperatorRecorder recorder_;
  int writes_ = 0;
};
// One machine in trouble at a time: killed and back, cut off, frozen, or with a slow disk.
void makeTrouble(World& w) {
  const auto& ip = kFounders[w.draw(kFounders.size())];
  const Duration lasting(500 + w.draw(4000));
  switch (w.draw(4)) {
    case 0:
      w.kill(ip);
      w.at(lasting, [&w, ip] { w.boot(ip, kFounders, false); });
      break;
    case 1:
      w.cutOff(ip, w.draw(2) == 0);
      w.at(lasting, [&w] { w.cut.clear(); });
      break;
    case 2:
      w.nodes[ip].frozen = true;
      w.at(lasting, [&w, ip] { w.nodes[ip].frozen = false; });
      break;
    default:
      w.nodes[ip].syncTime = Duration(600);
      w.at(lasting, [&w, ip] { w.nodes[ip].syncTime = Duration(4); });
      break;
  }
  w.runFor(lasting + Duration(w.draw(3000)));
}
std::vector<OperatorCall> recordedHistory(std::uint64_t seed, Planted planted) {
  World w(seed);
  w.loss = seed % 2 ? 0.03 : 0.0;
  for (auto& ip : kFounders)
    w.boot(ip, kFounders, true);
  w.runFor(4000ms);
  Operators operators(w, planted);
  operators.start(4, w.now + 40s);
  for (const auto end = w.now + 40s; w.now < end;)
    makeTrouble(w);
  w.runFor(8000ms);
  EXPECT_TRUE(w.broken.empty()) << "seed " << seed << ": " << w.broken.front();
  return operators.history();
}
std::ptrdiff_t acknowledged(const std::vector<OperatorCall>& history) {
  return std::count_if(history.begin(), history.end(),
                       [](auto& c) { return c.kind == Kind::replace && c.answer == kTaken; });
}
constexpr std::uint64_t kWorlds = 30;
int worldsExplained(Planted planted) {
  int explained = 0;
  for (std::uint64_t seed = 1; seed <= kWorlds; ++seed)
    explained += checkLinearizable(recordedHistory(seed, planted)).linearizable;
  return explained;
}
}  // namespace

TEST(Linearizability, WhatOperatorsAreToldInSeededWorldsIs) {
  std::ptrdiff_t calls = 0;
  std::ptrdiff_t changes = 0;
  for (std::uint64_t seed = 1; seed <= kWorlds; ++seed) {
    const auto history = recordedHistory(seed, Planted::nothing);
    const auto result = checkLinearizable(history);
    EXPECT_TRUE(result.linearizable) << "seed " << seed << ": " << result.explanation;
    calls += static_cast<std::ptrdiff_t>(history.size());
    changes += acknowledged(history);
  }
  RecordProperty("calls", static_cast<int>(calls));
  RecordProperty("changes", static_cast<int>(changes));
  EXPECT_GT(changes, static_cast<std::ptrdiff_t>(kWorlds) * 20) << "of " << calls << " calls";
}
TEST(Linearizability, ReadsWithoutAskingTheLeaderAreFound) {
  EXPECT_LT(worldsExplained(Planted::staleRead), static_cast<int>(kWorlds) / 2);
}
TEST(Linearizability, OrdersAcknowledgedBeforeTheyAreAgreedAreFound) {
  EXPECT_LT(worldsExplained(Planted::earlyAcknowledgement), static_cast<int>(kWorlds) / 2);
}
