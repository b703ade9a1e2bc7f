/// @file
/// Tests of one controller with real connections on loopback: agents that do not read, invalid input, the first start.
#include "controller_node.hpp"

#include <gtest/gtest.h>
#include <sys/socket.h>

#include <filesystem>
#include <regex>

#include "control_api.hpp"
#include "operations/json_path.hpp"
#include "operations/runbook.hpp"
#include "startup.hpp"
#include "state_machine/log_entries.hpp"
#include "transport/dialer.hpp"

using namespace zinccleat;
using namespace zinccleat::config;
using namespace zinccleat::consensus;
using namespace zinccleat::controller;
using namespace zinccleat::operations;
using namespace zinccleat::runtime;
using namespace zinccleat::state_machine;
using namespace zinccleat::transport;
namespace {
/// A controller that is started without the other members of its cluster.
struct SingleController {
  std::unique_ptr<ControllerNode> node;
  Settings settings;
  explicit SingleController(const std::string& ip, const std::vector<std::string>& others = {}) {
    std::string folder = std::filesystem::temp_directory_path() / "zinccleat-core-XXXXXX";
    settings.node = "core", settings.ip = ip, settings.zone = "z", settings.dataDir = ::mkdtemp(folder.data());
    settings.firstPort = 7960, settings.lastPort = 7975;
    settings.controlAddress = ip + ":8477";
    settings.seeds = {settings.controlAddress};
    for (const auto& other : others)
      settings.seeds.push_back(other + ":8477");
    settings.initialAttach = true;
    settings.toleratedMachineFailures = static_cast<int>(others.size() / 2);
    node = std::make_unique<ControllerNode>(settings);
  }
  bool waitUntil(Duration timeout, const std::function<bool()>& condition) {
    for (const auto end = Clock::now() + timeout; Clock::now() < end; EventLoop::get().sleepFor(5ms))
      if (condition())
        return true;
    return false;
  }
  std::int64_t status(const char* field) const {
    return std::atoll(fieldOf(node->statusJson(), field).value_or("-1").c_str());
  }
};
/// Runs a test in a fiber of the event loop until the test ends.
void runOnLoop(const std::function<void()>& test) {
  EventLoop::get().spawn([test] {
    test();
    EventLoop::get().stop();
  });
  EventLoop::get().run();
}
/// Creates a controller without starting it. The object is kept until the process exits, because timers of the event
/// loop refer to it.
SingleController& newController(const std::string& ip, const std::vector<std::string>& others = {}) {
  static std::vector<std::unique_ptr<SingleController>> all;
  all.push_back(std::make_unique<SingleController>(ip, others));
  return *all.back();
}
Result<void> start(ControllerNode& node) {
  runtime::Startup startup;
  return node.start(startup);
}
std::string configurationOf(int version) {
  constexpr int kTenants = 1500;
  auto text =
      "{\"configVersion\":" + std::to_string(version) +
      ",\"routeTable\":[],\"serviceTable\":[{\"label\":\"models\",\"healthPath\":\"/health\",\"connLimit\":500}],"
      "\"limits\":{\"maxBodyBytes\":4194304},\"subscribers\":[";
  for (int tenant = 0; tenant < kTenants; ++tenant) {
    const auto number = std::to_string(tenant);
    text += (tenant ? "," : "") + std::string("{\"label\":\"tenant-") + number + "\",\"accessKeys\":[\"key-" + number +
            "-a-0123456789abcdef\",\"key-" + number + "-b-" + std::to_string(version) +
            "-0123456789abcdef\"],\"precedence\":1,\"ratePerS\":3,\"burstSize\":3}";
  }
  return text + "]}";
}
}  // namespace

// Guards against a controller that grows over its memory because its log holds many large configurations that have
// little in common. The records on the disk are those of the log in memory.
TEST(ControllerNode, TheLogIsCompactedByTheBytesOfItsEntries) {
  runOnLoop([] {
    constexpr int kVersions = 14;
    constexpr std::uintmax_t kMb = std::uintmax_t{1} << 20U;
    auto& controller = newController("127.0.5.8");
    auto& node = *controller.node;
    ASSERT_TRUE(start(node));
    ASSERT_TRUE(controller.waitUntil(10s, [&] { return fieldOf(node.statusJson(), "leased") == "true"; }));
    for (int version = 1; version <= kVersions; ++version) {
      auto configuration = configurationOf(version);
      configuration.insert(configuration.size() - 1,
                           ",\"note\":\"" + std::string(2 * kMb, static_cast<char>('a' + version)) + "\"");
      const auto entry = configurationEntry(version - 1, version, configuration, node.nextOperationId());
      const auto outcome = node.write(entry, 10s);
      ASSERT_TRUE(outcome && *outcome == ReplicatedState::Verdict::acknowledged) << version;
    }
    const auto bytesOnDisk = [&] {
      std::uintmax_t bytes = 0;
      for (const auto& file : std::filesystem::directory_iterator(node.settings().dataDir))
        bytes += file.is_regular_file() ? file.file_size() : 0;
      return bytes;
    };
    EXPECT_TRUE(controller.waitUntil(5s, [&] { return bytesOnDisk() < 14 * kMb; }))
        << bytesOnDisk() << " bytes for configurations of 2 MB each";
  });
}
// Regression: a controller ran out of memory because each refetch queued another full answer behind those not yet read.
TEST(ControllerNode, AnAgentThatDoesNotReadCostsABoundedBacklog) {
  runOnLoop([] {
    auto& controller = newController("127.0.5.1");
    auto& node = *controller.node;
    ASSERT_TRUE(start(node));
    ASSERT_TRUE(controller.waitUntil(10s, [&] { return fieldOf(node.statusJson(), "leased") == "true"; }));
    std::size_t size = 0;
    for (int version = 1; version <= 3; ++version) {
      const auto configuration = configurationOf(version);
      size = configuration.size();
      const auto entry = configurationEntry(version - 1, version, configuration, node.nextOperationId());
      const auto outcome = node.write(entry, 5000ms);
      ASSERT_TRUE(outcome && *outcome == ReplicatedState::Verdict::acknowledged);
    }
    ASSERT_GT(size, 150'000U);
    Connection slowReader;
    SocketError ec;
    slowReader.socket().open(tcp::v4(), ec);
    slowReader.socket().set_option(asio::socket_base::receive_buffer_size(4096), ec);
    slowReader.socket().connect(*parseEndpoint("127.0.5.1:7960"), ec);
    ASSERT_FALSE(ec);
    auto send = [&](const auto& message) {
      const auto frame = encodeFrame(pack(message, "127.0.5.9#agent"));
      slowReader.write(asio::buffer(frame), ec);
    };
    send(AgentState{});
    std::int64_t maxBacklog = 0;
    for (int i = 0; i < 120; ++i) {
      FollowLog follow;
      follow.lastApplied = 1;
      follow.refetch = true;
      send(follow);
      EventLoop::get().sleepFor(2ms);
      maxBacklog = std::max(maxBacklog, controller.status("waitingBytes"));
    }
    EXPECT_EQ(controller.status("agents"), 1);
    EXPECT_GT(maxBacklog, 0) << "without a backlog the limit below is not tested";
    EXPECT_LT(maxBacklog, static_cast<std::int64_t>(4 * size))
        << "the missing entries are queued once, not once per refetch";
  });
}

namespace {
/// An agent that records the snapshots and entries that it receives.
struct RecordingAgent {
  Dialer dialer;
  std::vector<std::int64_t> snapshots;  ///< index of each snapshot
  std::vector<std::int64_t> entries;    ///< index of each entry

  explicit RecordingAgent(const std::string& controller)
      : dialer(
            *parseEndpoint(controller + ":7960"),
            [this](const PeerLinkPtr& link, const Envelope& envelope) {
              receive<FeedSnapshot>(link, envelope, [this](const FeedSnapshot& snapshot) {
                snapshots.push_back(snapshot.lastIncludedIndex);
              });
              receive<FeedEntries>(link, envelope, [this](const FeedEntries& feed) {
                for (const auto& entry : feed.entries)
                  entries.push_back(entry.index);
              });
            },
            [](const PeerLinkPtr&) {}) {}
  void follow(const FollowLog& request) { dialer.send(pack(request, "127.0.5.9#agent")); }
};
void writeRunner(ControllerNode& node, int number) {
  Runner runner;
  runner.id = "i-" + std::to_string(number);
  runner.service = "s", runner.address = "10.0.1." + std::to_string(number) + ":80";
  ASSERT_TRUE(node.write(runnerEntry(runner, node.nextOperationId()), 5000ms));
}
}  // namespace
// One snapshot is reused for all agents that start within a short time, followed by the entries after it.
TEST(ControllerNode, AStartingAgentGetsASnapshotAndTheEntriesBehindIt) {
  runOnLoop([] {
    auto& controller = newController("127.0.5.11");
    auto& node = *controller.node;
    ASSERT_TRUE(start(node));
    ASSERT_TRUE(controller.waitUntil(10s, [&] { return fieldOf(node.statusJson(), "leased") == "true"; }));
    writeRunner(node, 1);
    RecordingAgent agent("127.0.5.11");
    ASSERT_TRUE(controller.waitUntil(5s, [&] { return agent.dialer.up(); }));
    agent.follow({});
    ASSERT_TRUE(controller.waitUntil(5s, [&] { return agent.snapshots.size() == 1; }));
    const auto first = agent.snapshots.back();
    EXPECT_EQ(first, node.replica().state().index);
    writeRunner(node, 2);
    ASSERT_TRUE(controller.waitUntil(5s, [&] { return agent.entries == std::vector{first + 1}; }));

    agent.entries.clear();
    agent.follow({});
    ASSERT_TRUE(controller.waitUntil(5s, [&] { return agent.entries == std::vector{first + 1}; }));
    EXPECT_EQ(agent.snapshots.back(), first) << "the cached snapshot is reused";

    FollowLog distrusting;
    distrusting.refetch = true;
    agent.follow(distrusting);
    ASSERT_TRUE(controller.waitUntil(5s, [&] { return agent.snapshots.size() == 3; }));
    EXPECT_EQ(agent.snapshots.back(), first + 1) << "the agent would drop a snapshot older than its applied state";
  });
}
// An agent that has found a closer source unsubscribes and gets no further entries.
TEST(ControllerNode, AnAgentThatUnsubscribesIsSentNoMore) {
  runOnLoop([] {
    auto& controller = newController("127.0.5.12");
    auto& node = *controller.node;
    ASSERT_TRUE(start(node));
    ASSERT_TRUE(controller.waitUntil(10s, [&] { return fieldOf(node.statusJson(), "leased") == "true"; }));
    RecordingAgent agent("127.0.5.12");
    ASSERT_TRUE(controller.waitUntil(5s, [&] { return agent.dialer.up(); }));
    agent.follow({});
    ASSERT_TRUE(controller.waitUntil(5s, [&] { return agent.snapshots.size() == 1; }));
    FollowLog farewell;
    farewell.extension.unsubscribe = true;
    agent.follow(farewell);
    EventLoop::get().sleepFor(50ms);
    writeRunner(node, 1);
    EventLoop::get().sleepFor(50ms);
    EXPECT_TRUE(agent.entries.empty());
  });
}
// Regression: a founder whose peers never started acknowledged heartbeats, so runners kept sending their heartbeats to
// it.
TEST(ControllerNode, OneWithoutContactSendsItsCallersElsewhere) {
  runOnLoop([] {
    auto& node = *newController("127.0.5.2", {"127.0.5.3", "127.0.5.4"}).node;
    ASSERT_TRUE(start(node));
    auto call = [&](const std::string& method, const std::string& target, const std::string& body) {
      const auto from = Clock::now();
      const auto answer = answerApiRequest(node, {method, target, body, "", ""}, "http://127.0.5.2:8477");
      EXPECT_EQ(answer.status, HttpStatus::service_unavailable) << target;
      EXPECT_LT(Clock::now() - from, 900ms) << target;
    };
    call("POST", "/v1/Instances.Heartbeat/i1", R"({"targetService":"s","address":"10.0.1.1:80","sequence":1})");
    call("POST", "/v1/Instances.Detach/i1", "");
    call("POST", "/v1/Configuration.Replace", configurationOf(1));
    call("GET", "/v1/Configuration.Retrieve", "");
  });
}
// Regression: a failed restore was only logged, and later entries were applied to the old state.
TEST(ControllerNode, ASnapshotThatCantBeRestoredIsDeclinedAndNothingChanges) {
  runOnLoop([] {
    auto& controller = newController("127.0.5.5", {"127.0.5.6", "127.0.5.7"});
    ASSERT_TRUE(start(*controller.node));
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
    auto send = [&] {
      const auto frame = encodeFrame({MessageType::consensus, "127.0.5.6#0", encodeMessage(snapshot)});
      leader.write(asio::buffer(frame), ec);
    };
    send();
    ASSERT_TRUE(controller.waitUntil(5s, [&] { return controller.status("snapshotsDeclined") == 1; }));
    EXPECT_EQ(controller.status("released"), 0);
    EXPECT_EQ(controller.status("applied"), 0);
    ReplicatedState complete;
    auto entry = configurationEntry(0, 1, configurationOf(1), "op");
    entry.index = 40;
    complete.apply(entry);
    snapshot.state = complete.snapshot();
    send();
    ASSERT_TRUE(controller.waitUntil(5s, [&] { return controller.status("applied") == 40; }))
        << "a complete snapshot is installed";
    EXPECT_EQ(controller.status("version"), 1);
  });
}
TEST(ControllerNode, AFrameThatDoesNotParseEndsItsConnectionAndIsCounted) {
  runOnLoop([] {
    auto& controller = newController("127.0.5.8");
    ASSERT_TRUE(start(*controller.node));
    const auto before = controller.status("framesDeclined");
    const auto others = controller.status("framesOfOtherFormats");
    const auto valid = encodeFrame(pack(AgentState{7, {"x"}}, "127.0.5.9#agent"));
    auto otherFormat = valid;
    otherFormat[4] = 9;
    auto otherFields = valid;
    for (std::size_t i = valid.size() - 4; i < valid.size(); ++i)
      otherFields[i] = '\xff';
    auto noSender = encodeFrame(pack(AgentState{}));
    const auto noConsensus = encodeFrame({MessageType::consensus, "127.0.5.9#0", "\xff"});
    const auto otherType = encodeFrame({MessageType{99}, "127.0.5.9#0", ""});
    for (const auto& frame : {otherFormat, otherFields, noSender, noConsensus, otherType}) {
      Connection sender;
      SocketError ec;
      sender.connect(*parseEndpoint("127.0.5.8:7960"), ec);
      sender.write(asio::buffer(frame), ec);
      char byte = 0;
      sender.setDeadline(Clock::now() + 5s);
      sender.read(asio::buffer(&byte, 1), ec);
      EXPECT_TRUE(ec);
      EXPECT_FALSE(sender.deadlineExceeded()) << "the controller closes the connection";
    }
    EXPECT_EQ(controller.status("framesDeclined"), before + 5);
    EXPECT_EQ(controller.status("framesOfOtherFormats"), others + 1);
  });
}
TEST(ControllerNode, AFirstStartWhoseSeedsNameOnlyItselfIsRefused) {
  Settings settings;
  settings.ip = "10.0.0.4", settings.dataDir = "/tmp/x", settings.seeds = {"10.0.0.4:8080"};
  settings.initialAttach = true;
  settings.toleratedMachineFailures = 0;
  settings.firstPort = 7960, settings.lastPort = 7962;
  EXPECT_TRUE(settingsError(settings)) << "no port for the links of the replicated counters";
  settings.lastPort = 7963;
  EXPECT_FALSE(settingsError(settings)) << "a cluster of one";
  settings.toleratedMachineFailures = 1;
  EXPECT_TRUE(settingsError(settings)) << "a cluster of one tolerates no loss";
  settings.seeds.emplace_back("10.0.0.5:8080");
  EXPECT_FALSE(settingsError(settings));
}
// When a member restarts, its seed list may lack the other controllers because they are down. The process must keep
// running, must not found a cluster of its own and must not acknowledge anything.
TEST(ControllerNode, ALaterStartWhoseSeedsNameOnlyItselfFoundsNothing) {
  runOnLoop([] {
    auto& controller = newController("127.0.5.9");
    controller.settings.initialAttach = false;
    controller.node = std::make_unique<ControllerNode>(controller.settings);
    ASSERT_TRUE(start(*controller.node));
    EXPECT_EQ(controller.status("seedsDeclined"), 1);
    EXPECT_FALSE(controller.waitUntil(1500ms, [&] { return controller.node->inContact(); }));
    EXPECT_EQ(controller.status("term"), 0);
  });
}
TEST(ControllerNode, OnlyACompleteStateIsAValidSnapshot) {
  ReplicatedState replica;
  auto entry = configurationEntry(0, 1, configurationOf(1), "op");
  entry.index = 1;
  replica.apply(entry);
  EXPECT_TRUE(snapshotIsValid(replica.snapshot()));
  EXPECT_FALSE(snapshotIsValid(replica.snapshotFor(replica.state().digest))) << "a partial snapshot";
  auto truncated = replica.snapshot();
  truncated.resize(truncated.size() / 2);
  EXPECT_FALSE(snapshotIsValid(truncated));
}
// Runbooks wait for fields of the answer by name. A field missing from the answer would make a runbook wait forever.
TEST(ControllerNode, EachZoneDrainFieldThatARunbookWaitsForIsInTheAnswer) {
  runOnLoop([] {
    auto& controller = newController("127.0.5.15");
    auto& node = *controller.node;
    ASSERT_TRUE(start(node));
    ASSERT_TRUE(controller.waitUntil(20s, [&] { return node.inContact(); }));
    ASSERT_TRUE(node.write(zoneDrainEntry({"place", "note", 0, false}, false, node.nextOperationId()), 20s));
    const auto runbook = readFile("runbooks/close-zone.run");
    ASSERT_TRUE(runbook);
    const std::regex awaited(R"(closures\[place=\{place\}\]\.(\w+))");
    int fields = 0;
    for (std::sregex_iterator match(runbook->begin(), runbook->end(), awaited), end; match != end; ++match) {
      const auto field = (*match)[1].str();
      EXPECT_TRUE(fieldOf(node.zoneDrainsJson(), "closures[place=place]." + field)) << field;
      ++fields;
    }
    EXPECT_GT(fields, 0);
  });
}
