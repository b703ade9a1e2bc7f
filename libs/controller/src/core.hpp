// One core machine's part in the fleet: the order, the copy, the links, and who waits for what.
#pragma once
#include "calls.hpp"
#include "config/configuration.hpp"
#include "config/settings.hpp"
#include "consensus/raft_node.hpp"
#include "heartbeats.hpp"
#include "hints/hints.hpp"
#include "operation_ids.hpp"
#include "outliers.hpp"
#include "quota.hpp"
#include "state_machine/replicated_state.hpp"
#include "storage_thread.hpp"
#include "transport/partial_view.hpp"
#include "transport/peer_link.hpp"
namespace zc {
constexpr std::size_t kBulkyBody = 16384;  // above this a write's body goes ahead from its sender
constexpr HintBounds kHintBounds{};
/// Whether a replicated state, as the consensus hands it on, can be restored by this program.
bool snapshotIsValid(const std::string& state);
/// Settings that no core machine can start with, as one line; none: it can.
std::optional<std::string> unusableSettings(const Settings& s);

class Core : public CoreServices {
 public:
  explicit Core(Settings s);
  ~Core() override;
  Outcome<void> start();
  Outcome<std::int32_t> write(Entry e, Span within) override;
  Outcome<void> fresh(Span within) override;
  std::string operationId() override { return operationIds_->next(); }
  const ReplicatedState& copy() const override { return copy_; }
  bool inContact() const override;
  bool awaitContact(Span within) override;
  bool heartbeatsReachLeader() const override;
  void noteHeartbeat(const std::string& runnerId) override;
  void reread(Settings s);
  Outcome<std::string> hintsFrom(std::string_view body, std::string_view seal) override;
  std::string hintSeal(std::string_view body) const { return hintKey_ ? hintKey_->seal(body) : std::string{}; }
  void leave(std::function<void()> done);
  std::string statusJson() const override;
  std::string closuresJson() const override;
  double requestsPerS() const override;  // over all proxies heard from
  std::string leaderControl() const override;
  const Settings& settings() const override { return s_; }

 private:
  struct AgentSession {
    PeerLinkPtr link;
    std::int64_t fed = -1;     // -1: asks for nothing here
    std::int64_t applied = 0;  // by its state messages
    int told = 0;              // state messages answered on this link
    std::size_t members = 0;   // hash of the members last told
    std::string held;          // digest of the configuration that it response it holds
  };
  struct Write {
    Waiter w;
    std::optional<std::int32_t> verdict;
  };
  struct Read {
    Waiter w;
    std::int64_t num = -1;
  };
  void run();  // carries out what the order asks for
  void onMsg(const PeerLinkPtr& l, Msg m);
  void carryOut(SendMessage& action);
  void carryOut(PersistRecord& action);
  void carryOut(ApplyEntry& action);
  void carryOut(RestoreSnapshot& action);
  void release(const Entry& e);
  void install(const std::string& state);
  void adoptConfiguration();
  void feed(AgentSession& t);
  void feedAll();
  // What brings a copy from a number to the newest, encoded once for all agents that stand there.
  std::shared_ptr<const std::string> feedFrame(std::int64_t from, const std::string& held);
  void dropSilent(Instant now);
  std::int64_t hintEpoch() const;
  void tellPartner();
  void tick();
  void tellAgents();
  void sendTo(const std::string& member, const Msg& m);
  Dialer* dialer(const std::string& ip);
  Msg stateAck();
  void watchRunners(Instant now);
  void forwardHeartbeats(Instant now);
  void shareBody(const Entry& e);

  Settings s_;
  std::unique_ptr<RaftNode> raft_;
  std::unique_ptr<StorageThread> disk_;
  ReplicatedState copy_;
  std::shared_ptr<const Configuration> cfg_;
  QuotaAllocator quota_;
  OutlierDetector outliers_;
  std::optional<HintKey> hintKey_;
  std::optional<HintTable> hints_;  // none: no partner site
  bool tellingHints_ = false;
  PartialView view_;
  std::map<std::string, std::unique_ptr<Dialer>> dialers_;
  std::map<std::string, std::weak_ptr<PeerLink>> lastLink_;
  std::map<std::string, AgentSession> agents_;
  std::map<std::pair<std::int64_t, std::string>, std::shared_ptr<const std::string>>
      frames_;  // of `feedFrame`, until the newest number changes
  std::int64_t framesOf_ = -1;
  std::map<std::string, std::vector<Write*>> writes_;
  std::map<std::int64_t, Read*> reads_;
  struct Load {
    std::vector<Grant> places;
    Instant at;
  };
  std::map<std::string, Load> loads_;  // by agent
  HeartbeatForwarder heartbeats_;
  RunnerMonitor runnerMonitor_;
  std::optional<OperationIds> operationIds_;
  std::int64_t nonce_ = 0, sinceCompact_ = 0;
  std::uint64_t messagesDeclined_ = 0;  // from members, not readable
  std::uint64_t turns_ = 0;
  std::int64_t nodesHeard_ = 0;  // access nodes that asked for a lease in the last half minute
  std::uint64_t boot_ = 0;
  std::string lastLeader_;
  bool wasLeader_ = false, running_ = false, leaving_ = false;
};
}  // namespace zc
