/// One core machine. It wires its parts: the member of the replicated log, the disk, the applied copy, the links to the
/// other members, the access machines' agents, and who waits for a write or a read. Events of all of them meet here, on
/// the one thread.
#pragma once
#include "access_desk.hpp"
#include "agent_sessions.hpp"
#include "calls.hpp"
#include "core_context.hpp"
#include "heartbeats.hpp"
#include "lease_reads.hpp"
#include "operation_ids.hpp"
#include "partner_hints.hpp"
#include "peer_links.hpp"
#include "pending_writes.hpp"
#include "storage_thread.hpp"
namespace zinccleat::controller {
/// Whether a replicated state, as the consensus hands it on, can be restored by this program.
bool snapshotIsValid(const std::string& state);
/// Whether the settings name no other core machine to ask.
bool seedsHoldNobodyElse(const config::Settings& settings);
/// Settings that no core machine can start with, as one line; none: it can.
std::optional<std::string> unusableSettings(const config::Settings& settings);

class Core : public CoreServices {
 public:
  explicit Core(config::Settings settings);
  ~Core() override;
  Result<void> start();
  /// The settings file has changed.
  void reread(const config::Settings& settings);
  /// Ends this machine's part in good order. `mayEnd` is called again and again once the others can do without it, or
  /// in time to end before being killed; with true: that time has come, nothing more may be waited for.
  void leave(const std::function<void(bool timeIsUp)>& mayEnd);

  const config::Settings& settings() const override { return shared_.settings; }
  const state_machine::ReplicatedState& copy() const override { return shared_.copy; }
  bool inContact() const override;
  bool awaitContact(Duration within) override;
  bool heartbeatsReachLeader() const override;
  void noteHeartbeat(const std::string& runnerId) override;
  Result<std::int32_t> write(transport::LogEntry entry, Duration within) override {
    return writes_.write(entry, within);
  }
  Result<void> fresh(Duration within) override { return reads_.fresh(within); }
  std::string operationId() override { return operationIds_->next(); }
  std::string leaderControl() const override;
  double requestsPerS() const override { return desk_.requestsPerS(Clock::now()); }
  std::string statusJson() const override;
  std::string zoneDrainsJson() const override;
  Result<std::string> hintsFrom(std::string_view body, std::string_view seal) override {
    return hints_.take(body, seal);
  }

 private:
  /// The disk as it was found, with the storage that goes on from there.
  struct LoadedDisk {
    storage::Storage storage;
    storage::Recovery recovery;
  };
  Result<LoadedDisk> loadDisk() const;
  void startMember(LoadedDisk disk);
  Result<void> startLinks();
  void startTimers();

  /// Carries out what the consensus asks for, and what follows from it.
  void run();
  void carryOut(consensus::SendMessage& action);
  void carryOut(consensus::PersistRecord& action);
  void carryOut(consensus::ApplyEntry& action);
  void carryOut(consensus::RestoreSnapshot& action);
  void followRole();
  void compactIfDue();
  void adoptConfiguration();
  void tick();
  void eachSecond();

  void onMessage(const transport::PeerLinkPtr& link, const transport::Envelope& envelope);
  void onPeerMessage(const transport::PeerLinkPtr& link, const transport::Envelope& envelope);
  void onAccessMessage(const transport::PeerLinkPtr& link, const transport::Envelope& envelope);
  void onConsensus(const transport::PeerLinkPtr& link, const transport::Envelope& envelope);
  void onSubmit(const consensus::MemberId& from, transport::LogEntry entry);
  void onHeartbeats(const transport::PeerLinkPtr& link, const transport::HeartbeatBatch& batch);
  template <class T>
  void answer(const transport::PeerLinkPtr& link, const T& message) {
    link->send(transport::pack(message, shared_.raft->self()));
  }
  void sendBodyAhead(const transport::LogEntry& entry);
  void forwardHeartbeats(TimePoint now);
  void dropMissedRunners(TimePoint now);

  CoreContext shared_;
  std::unique_ptr<StorageThread> disk_;
  PeerLinks peers_;
  AgentSessions agents_;
  PendingWrites writes_;
  LeaseReads reads_;
  AgentRequestHandler desk_;
  PartnerHints hints_;
  HeartbeatForwarder heartbeats_;
  RunnerMonitor runnerMonitor_;
  std::optional<OperationIds> operationIds_;
  std::int64_t sinceCompact_ = 0;  // entries applied since the log was last compacted
  std::uint64_t ticks_ = 0;
  const std::uint64_t boot_ = randomSeed();
  consensus::MemberId lastLeader_;
  bool wasLeader_ = false, running_ = false, leaving_ = false;
};
}  // namespace zinccleat::controller
