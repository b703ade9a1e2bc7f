// Who votes: the configuration of the replicated log's voters, with joint consensus for every change.
//
// A change of voters from `voters` to `nextVoters` passes through a joint configuration in which each decision (an
// election, a commit, a lease) needs a majority of both. Any quorum of a configuration therefore overlaps with any
// quorum of the configuration before and after it, whatever the change is. Source: Ongaro and Ousterhout, "In Search
// of an Understandable Consensus Algorithm", section 6.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::consensus {
// A member is one life of a disk: "ADDRESS#NONCE". A machine whose disk was lost comes back under a new identity, so
// no vote and no acknowledgement is ever given twice under one name.
using MemberId = std::string;
// The address part of a member's identity.
std::string addressOf(const MemberId& member);

struct ClusterConfig {
  std::vector<MemberId> voters;
  std::vector<MemberId> nextVoters;  // empty: not in a change

  bool empty() const { return voters.empty(); }
  bool joint() const { return !nextVoters.empty(); }
  // Whether `member` votes in either half.
  bool isVoter(const MemberId& member) const;
  // All voters of both halves, each once.
  std::vector<MemberId> allVoters() const;
  // Whether the members for which `agrees` holds are a majority of each half.
  bool hasQuorum(const std::function<bool(const MemberId&)>& agrees) const;
  // The largest value that a majority of each half has reached; `empty` for a configuration without voters.
  template <class T>
  T reachedByQuorum(const std::function<T(const MemberId&)>& valueOf, T empty) const;

  bool operator==(const ClusterConfig& other) const = default;
};

// The text kept in a configuration entry and in snapshots: names split by spaces, halves split by '|'.
std::string encodeConfig(const ClusterConfig& config);
ClusterConfig decodeConfig(std::string_view text);
// How many of `voters` are a majority.
std::size_t majorityOf(std::size_t voters);

template <class T>
T ClusterConfig::reachedByQuorum(const std::function<T(const MemberId&)>& valueOf, T empty) const {
  const auto ofHalf = [&](const std::vector<MemberId>& half) {
    std::vector<T> values;
    values.reserve(half.size());
    for (const auto& member : half)
      values.push_back(valueOf(member));
    std::sort(values.rbegin(), values.rend());
    return values[majorityOf(half.size()) - 1];
  };
  if (voters.empty())
    return empty;
  const T current = ofHalf(voters);
  return joint() ? std::min(current, ofHalf(nextVoters)) : current;
}
}  // namespace zinccleat::consensus
