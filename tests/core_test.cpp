// One core machine with its real links, on loopback: what one receiver that does not read may cost.
#include "core.hpp"

#include <gtest/gtest.h>
#include <sys/socket.h>

#include <filesystem>
#include <regex>

#include "operations/observation.hpp"
#include "operations/runbook.hpp"
#include "simulation/plan.hpp"

using namespace zinccleat;
using namespace zinccleat::config;
using namespace zinccleat::consensus;
using namespace zinccleat::controller;
using namespace zinccleat::operations;
using namespace zinccleat::runtime;
using namespace zinccleat::simulation;
using namespace zinccleat::state_machine;
using namespace zinccleat::transport;
namespace {
struct Alone {
  std::unique_ptr<Core> core;
  Settings s;
  explicit Alone(const std::string& ip, const std::vector<std::string>& others = {}) {
    std::string t = std::filesystem::temp_directory_path() / "zinccleat-core-XXXXXX";
    s.node = "core", s.ip = ip, s.zone = "z", s.dataDir = ::mkdtemp(t.data());
    s.firstPort = 7960, s.lastPort = 7975;
    s.controlAddress = ip + ":8477";
    s.seeds = {s.controlAddress};
    for (auto& other : others)
      s.seeds.push_back(other + ":8477");
    s.initialAttach = true;
    s.toleratedMachineFailures = static_cast<int>(others.size() / 2);
    core = std::make_unique<Core>(s);
  }
  bool until(Duration within, const std::function<bool()>& f) {
    for (const auto end = Clock::now() + within; Clock::now() < end; EventLoop::get().sleepFor(5ms))
      if (f())
        return true;
    return false;
  }
  std::int64_t status(const char* field) const {
    return std::atoll(fieldOf(core->statusJson(), field).value_or("-1").c_str());
  }
};
/// Runs f in a fiber of the loop until it ends.
void onLoop(const std::function<void()>& f) {
  EventLoop::get().spawn([f] {
    f();
    EventLoop::get().stop();
  });
  EventLoop::get().run();
}
std::vector<std::unique_ptr<Alone>>& kept() {  // their timers refer to them
  static std::vector<std::unique_ptr<Alone>> all;
  return all;
}
std::string body(int version) {
  ScaleRunPlan p;
  p.tenants = 1500;
  return planConfiguration(p, version, std::vector<int>(1500, version));
}
}  // namespace

// Found as a core machine over its memory: an answer to each refetch was added to what already waited.
TEST(Core, ATenderThatDoesNotReadCostsABoundedBacklog) {
  static std::vector<std::unique_ptr<Alone>> kept;  // its timers refer to it
  EventLoop::get().spawn([] {
    kept.push_back(std::make_unique<Alone>("127.0.5.1"));
    auto& a = *kept.back();
    ASSERT_TRUE(a.core->start());
    ASSERT_TRUE(a.until(10s, [&] { return fieldOf(a.core->statusJson(), "leased").value_or("") == "true"; }));
    std::size_t size = 0;
    for (int v = 1; v <= 3; ++v) {
      const auto b = body(v);
      size = b.size();
      const auto r = a.core->write(configurationEntry(v - 1, v, b, a.core->operationId()), 5000ms);
      ASSERT_TRUE(r && *r == 200);
    }
    ASSERT_GT(size, 150'000U);
    Connection deaf;
    SocketError ec;
    deaf.socket().open(tcp::v4(), ec);
    deaf.socket().set_option(asio::socket_base::receive_buffer_size(4096), ec);
    deaf.socket().connect(*parseEndpoint("127.0.5.1:7960"), ec);
    ASSERT_FALSE(ec);
    auto say = [&](const auto& message) {
      const auto frame = encodeFrame(pack(message, "127.0.5.9#agent"));
      deaf.write(asio::buffer(frame), ec);
    };
    say(AgentState{});
    std::int64_t most = 0;
    for (int i = 0; i < 120; ++i) {
      FollowLog follow;
      follow.lastApplied = 1;
      follow.refetch = true;
      say(follow);
      EventLoop::get().sleepFor(2ms);
      most = std::max(most, a.status("waitingBytes"));
    }
    EXPECT_EQ(a.status("agents"), 1);
    EXPECT_GT(most, 0) << "something must wait, or this shows nothing";
    EXPECT_LT(most, static_cast<std::int64_t>(4 * size)) << "once what it misses, not once a refetch";
    EventLoop::get().stop();
  });
  EventLoop::get().run();
}

// Found by reading: a founder whose fellows never came acknowledged beats and held the runners at itself.
TEST(Core, OneThatReachesNobodySendsItsCallersOn) {
  onLoop([] {
    kept().push_back(std::make_unique<Alone>("127.0.5.2", std::vector<std::string>{"127.0.5.3", "127.0.5.4"}));
    auto& core = *kept().back()->core;
    ASSERT_TRUE(core.start());
    auto call = [&](const std::string& method, const std::string& target, const std::string& body) {
      const auto from = Clock::now();
      const auto answer = answerCall(core, {method, target, body, "", ""}, "http://127.0.5.2:8477");
      EXPECT_EQ(answer.status, 503) << target;
      EXPECT_LT(Clock::now() - from, 900ms) << target;
    };
    call("POST", "/v1/Instances.Heartbeat/i1", R"({"targetService":"s","address":"10.0.1.1:80","sequence":1})");
    call("POST", "/v1/Instances.Detach/i1", "");
    call("POST", "/v1/Configuration.Replace", body(1));
    call("GET", "/v1/Configuration.Retrieve", "");
  });
}
// Found by reading: `install` only logged it, and later entries went on top of the old state.
TEST(Core, ASnapshotThatCantBeRestoredIsDeclinedAndNothingChanges) {
  onLoop([] {
    kept().push_back(std::make_unique<Alone>("127.0.5.5", std::vector<std::string>{"127.0.5.6", "127.0.5.7"}));
    auto& a = *kept().back();
    ASSERT_TRUE(a.core->start());
    Connection leader;
    SocketError ec;
    leader.connect(*parseEndpoint("127.0.5.5:7960"), ec);
    ASSERT_FALSE(ec);
    InstallSnapshot snapshot;
    snapshot.term = 1;
    snapshot.lastIncludedIndex = 40;
    snapshot.lastIncludedTerm = 1;
    snapshot.commitIndex = 40;
    snapshot.config = "127.0.5.5#0 127.0.5.6#0 127.0.5.7#0";
    snapshot.state = "no state at all \xff\xff\xff\xff\xff\xff\xff\xff\xff\xff";
    auto say = [&] {
      const auto frame = encodeFrame({MessageType::consensus, "127.0.5.6#0", encodeMessage(snapshot)});
      leader.write(asio::buffer(frame), ec);
    };
    say();
    ASSERT_TRUE(a.until(5s, [&] { return a.status("snapshotsDeclined") == 1; }));
    EXPECT_EQ(a.status("released"), 0);
    EXPECT_EQ(a.status("applied"), 0);
    ReplicatedState whole;
    auto entry = configurationEntry(0, 1, body(1), "op");
    entry.index = 40;
    whole.apply(entry);
    snapshot.state = whole.snapshot();
    say();
    ASSERT_TRUE(a.until(5s, [&] { return a.status("applied") == 40; })) << "a whole one is taken";
    EXPECT_EQ(a.status("version"), 1);
  });
}
TEST(Core, AFrameThatDoesNotParseEndsItsConnectionAndIsCounted) {
  onLoop([] {
    kept().push_back(std::make_unique<Alone>("127.0.5.8"));
    auto& a = *kept().back();
    ASSERT_TRUE(a.core->start());
    const auto before = a.status("framesDeclined");
    const auto others = a.status("framesOfOtherFormats");
    const auto whole = encodeFrame(pack(AgentState{7, {"x"}}, "127.0.5.9#agent"));
    auto otherFormat = whole;
    otherFormat[4] = 9;
    auto otherFields = whole;
    for (std::size_t i = whole.size() - 4; i < whole.size(); ++i)
      otherFields[i] = '\xff';
    auto noSender = encodeFrame(pack(AgentState{}));
    const auto noConsensus = encodeFrame({MessageType::consensus, "127.0.5.9#0", "\xff"});
    const auto otherType = encodeFrame({MessageType{99}, "127.0.5.9#0", ""});
    for (const auto& frame : {otherFormat, otherFields, noSender, noConsensus, otherType}) {
      Connection stranger;
      SocketError ec;
      stranger.connect(*parseEndpoint("127.0.5.8:7960"), ec);
      stranger.write(asio::buffer(frame), ec);
      char byte = 0;
      stranger.setDeadline(Clock::now() + 5s);
      stranger.read(asio::buffer(&byte, 1), ec);
      EXPECT_TRUE(ec);
      EXPECT_FALSE(stranger.deadlineExceeded()) << "the far end closes it";
    }
    EXPECT_EQ(a.status("framesDeclined"), before + 5);
    EXPECT_EQ(a.status("framesOfOtherFormats"), others + 1);
  });
}
TEST(Core, AFirstStartWhoseSeedsHoldThisMachineAloneIsRefused) {
  Settings s;
  s.ip = "10.0.0.4", s.dataDir = "/tmp/x", s.seeds = {"10.0.0.4:8080"};
  s.initialAttach = true;
  s.toleratedMachineFailures = 0;
  EXPECT_FALSE(unusableSettings(s)) << "a core of one";
  s.toleratedMachineFailures = 1;
  EXPECT_TRUE(unusableSettings(s)) << "a core of one bears no loss";
  s.seeds.emplace_back("10.0.0.5:8080");
  EXPECT_FALSE(unusableSettings(s));
}
// A later start may meet a list from which all others are missing because they are down: it must not end in a loop, and
// it must neither found a core of its own nor acknowledge anything.
TEST(Core, ALaterStartWhoseSeedsHoldThisMachineAloneFoundsNothing) {
  onLoop([] {
    kept().push_back(std::make_unique<Alone>("127.0.5.9"));
    auto& lonely = *kept().back();
    lonely.s.initialAttach = false;
    lonely.core = std::make_unique<Core>(lonely.s);
    ASSERT_TRUE(lonely.core->start());
    EXPECT_EQ(lonely.status("seedsDeclined"), 1);
    EXPECT_FALSE(lonely.until(1500ms, [&] { return lonely.core->inContact(); }));
    EXPECT_EQ(lonely.status("term"), 0);
  });
}
TEST(Core, OnlyAWholeStateIsAValidSnapshot) {
  ReplicatedState copy;
  auto entry = configurationEntry(0, 1, body(1), "op");
  entry.index = 1;
  copy.apply(entry);
  EXPECT_TRUE(snapshotIsValid(copy.snapshot()));
  EXPECT_FALSE(snapshotIsValid(copy.snapshotFor(copy.state().digest))) << "a part of one";
  auto cut = copy.snapshot();
  cut.resize(cut.size() / 2);
  EXPECT_FALSE(snapshotIsValid(cut));
}
// A runbook waits for fields by name: one that the answer does not have would never be met.
TEST(Core, EachFieldOfAClosureThatARunbookWaitsForIsInTheAnswer) {
  onLoop([] {
    kept().push_back(std::make_unique<Alone>("127.0.5.15"));
    auto& a = *kept().back();
    ASSERT_TRUE(a.core->start());
    ASSERT_TRUE(a.until(20000ms, [&] { return a.core->inContact(); }));
    ASSERT_TRUE(a.core->write(zoneDrainEntry({"place", "note", 0, false}, false, a.core->operationId()), 20000ms));
    const auto book = readFile("runbooks/close-zone.run");
    ASSERT_TRUE(book);
    const std::regex awaited(R"(closures\[place=\{place\}\]\.(\w+))");
    int fields = 0;
    for (std::sregex_iterator match(book->begin(), book->end(), awaited), end; match != end; ++match) {
      const auto field = (*match)[1].str();
      EXPECT_TRUE(fieldOf(a.core->zoneDrainsJson(), "closures[place=place]." + field)) << field;
      ++fields;
    }
    EXPECT_GT(fields, 0);
  });
}
