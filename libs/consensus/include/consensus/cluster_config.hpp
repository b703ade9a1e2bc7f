/// The voters of the replicated log, and the quorum rule for them. Every change of voters uses joint consensus.
///
/// A change from `voters` to `nextVoters` passes through a joint configuration, in which each decision (an election, a
/// commit, a lease) needs a majority of both sets. Any quorum of a configuration therefore overlaps with any quorum of
/// the configuration before and of the one after it, however many voters the change replaces. Source: Ongaro and
/// Ousterhout, "In Search of an Understandable Consensus Algorithm", section 6.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::consensus {
/// The identity of one disk, "ADDRESS#NONCE". A machine whose disk was lost rejoins under a new identity. One identity
/// therefore never votes twice in a term, and never acknowledges an entry that its disk no longer has.
using MemberId = std::string;
/// The address part of a member's identity.
std::string addressOf(const MemberId& member);

/// The voters: one set, or two sets while a change is in progress.
struct ClusterConfig {
  std::vector<MemberId> voters;
  std::vector<MemberId> nextVoters;  ///< empty: no change is in progress

  bool empty() const { return voters.empty(); }
  /// Whether this is the joint configuration of a change.
  bool joint() const { return !nextVoters.empty(); }
  /// Whether `member` is in either set of voters.
  bool isVoter(const MemberId& member) const;
  /// The union of both sets of voters, without duplicates.
  std::vector<MemberId> allVoters() const;
  /// Whether the members for which `agrees` returns true are a majority of each set of voters. False if there are no
  /// voters.
  bool hasQuorum(const std::function<bool(const MemberId&)>& agrees) const;
  /// The largest value that is reached or exceeded by a majority of each set of voters.
  /// @param valueOf returns the value that one voter has reached.
  /// @param none the result for a configuration without voters.
  template <class T>
  T reachedByQuorum(const std::function<T(const MemberId&)>& valueOf, T none) const;

  bool operator==(const ClusterConfig& other) const = default;
};

/// Encodes a configuration for log entries, snapshots and disk records: identities are separated by spaces, the two
/// voter sets of a joint configuration by '|'.
std::string encodeConfig(const ClusterConfig& config);
/// Decodes the result of `encodeConfig`. An empty text is an empty configuration.
ClusterConfig decodeConfig(std::string_view text);
/// The size of the smallest majority of `voters` members.
std::size_t majorityOf(std::size_t voters);

template <class T>
T ClusterConfig::reachedByQuorum(const std::function<T(const MemberId&)>& valueOf, T none) const {
  const auto reachedByMajority = [&](const std::vector<MemberId>& half) {
    std::vector<T> values;
    values.reserve(half.size());
    for (const auto& member : half)
      values.push_back(valueOf(member));
    std::sort(values.rbegin(), values.rend());
    return values[majorityOf(half.size()) - 1];
  };
  if (voters.empty())
    return none;
  const T current = reachedByMajority(voters);
  return joint() ? std::min(current, reachedByMajority(nextVoters)) : current;
}
}  // namespace zinccleat::consensus
