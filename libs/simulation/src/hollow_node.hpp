// A hollow access node: the agent's and the proxy's side of every exchange with the core, without the traffic itself.
#pragma once
#include <random>

#include "balancing/quota_token_buckets.hpp"
#include "consensus/entry_queue.hpp"
#include "state_machine/replicated_state.hpp"
#include "transport/access_messages.hpp"
#include "transport/dialer.hpp"
namespace zinccleat::simulation {
class HollowNode {
 public:
  HollowNode(std::string self, std::vector<std::string> core, unsigned short port, std::uint64_t seed);
  void start();
  void restart();                           // as a process that has just begun
  void request(const std::string& tenant);  // one that wants a token
  bool leased() const { return Clock::now() < leaseEnds_; }
  std::int64_t version() const { return copy_.state().version; }
  std::string digest() const { return copy_.state().digest; }
  std::uint64_t granted = 0, refused = 0;
  std::vector<double> drawMs;  // round trips of draws
  std::function<void(HollowNode&)> onVersion = [](HollowNode&) {};

 private:
  void dial();
  void onMessage(const transport::PeerLinkPtr& link, const transport::Envelope& envelope);
  void onStanding(const transport::ClusterStatus& standing);
  void onLease(const transport::LeaseResponse& answer);
  void onDrawn(const transport::QuotaTokenResponse& drawn);
  void follow();
  void drain();
  transport::Dialer* leader();
  std::string self_, leaderIp_;
  std::vector<std::string> core_;
  unsigned short port_;
  std::mt19937_64 rng_;
  std::map<std::string, std::unique_ptr<transport::Dialer>> links_;
  consensus::EntryQueue queue_;
  state_machine::ReplicatedState copy_;
  balancing::QuotaTokenBuckets reserve_;
  std::map<std::int64_t, TimePoint> asked_;
  TimePoint leaseEnds_{}, followed_{}, drawnAt_{};
  std::int64_t question_ = 0, draw_ = 0, term_ = 0, newest_ = 0, outliersKnown_ = 0;
  std::map<std::string, int> waiting_;
  int states_ = 0;
  bool following_ = false, asking_ = false;
};
}  // namespace zinccleat::simulation
