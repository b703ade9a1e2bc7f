/// The voters of the replicated log, and what a quorum of them is; joint consensus for every change.
///
/// A change from `voters` to `nextVoters` passes through a joint configuration, in which each decision (an election, a
/// commit, a lease) needs a majority of both. Any quorum of a configuration therefore overlaps with any quorum of the
/// configuration before and after it, whatever the change is. Source: Ongaro and Ousterhout, "In Search of an
/// Understandable Consensus Algorithm", section 6.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::consensus {
/// The identity of one disk, "ADDRESS#NONCE". A machine whose disk was lost comes back under a new identity, so no vote
/// and no acknowledgement is ever given twice under one identity.
using MemberId = std::string;
/// The address part of a member's identity.
std::string addressOf(const MemberId& member);

/// The voters: a single set, or two during a change.
struct ClusterConfig {
  std::vector<MemberId> voters;
  std::vector<MemberId> nextVoters;  ///< empty: not in a change

  bool empty() const { return voters.empty(); }
  /// Whether a change is under way.
  bool joint() const { return !nextVoters.empty(); }
  /// Whether `member` votes in either half.
  bool isVoter(const MemberId& member) const;
  /// All voters of both halves, each once.
  std::vector<MemberId> allVoters() const;
  /// Whether the members for which `agrees` holds are a majority of each half. Without voters there is no quorum.
  bool hasQuorum(const std::function<bool(const MemberId&)>& agrees) const;
  /// The largest value that a majority of each half has reached.
  /// @param valueOf the value that one voter has reached.
  /// @param none the result for a configuration without voters.
  template <class T>
  T reachedByQuorum(const std::function<T(const MemberId&)>& valueOf, T none) const;

  bool operator==(const ClusterConfig& other) const = default;
};

/// The text of a configuration in log entries, snapshots and disk records: identities separated by spaces, the two
/// halves of a joint configuration by '|'.
std::string encodeConfig(const ClusterConfig& config);
/// Reads what `encodeConfig` wrote; an empty text is an empty configuration.
ClusterConfig decodeConfig(std::string_view text);
/// How many of `voters` are a majority.
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
