/// @file
/// Deduplication tables of the replicated state: which configurations were accepted, which operations were applied,
/// which runners are permanently detached. The tables make repeated and late requests idempotent.
///
/// Each table is a bounded FIFO; the bound follows from how long a caller may repeat a request, as stated at each
/// `kCapacity`. Names and digests are stored as 64-bit hashes (8 to 16 bytes per entry). At these sizes two names share
/// a hash less than once in a billion days. All replicas hold the same entries in the same order.
///
/// `pack` and `unpack` convert a table to and from its snapshot encoding: little-endian integers of fixed width.
/// `unpack` returns ErrorCode::corruption for a table that is truncated, out of order or above its capacity.
#pragma once
#include "runtime/common.hpp"

namespace zinccleat::state_machine {
/// Accepted configurations by version and digest. A Replace that repeats an accepted one is acknowledged again.
class AcceptedConfigurations {
 public:
  /// Maximum number of entries. An operator repeats a Replace until it gets a definite answer; the API's rules limit
  /// the repetition to one day. The design target is 1,900 changes a day, so the table covers two days in 64 KB. A
  /// Replace that is older than the table is not rejected either: `mayBeForgotten` reports that its outcome is unknown.
  static constexpr std::size_t kCapacity = 4096;

  /// Records an accepted configuration. A version at or below the newest recorded version is ignored.
  void record(std::int64_t version, std::string_view digest);
  bool contains(std::int64_t version, std::string_view digest) const;
  /// Whether a configuration of this version may have been accepted and then evicted from the table.
  bool mayBeForgotten(std::int64_t version) const { return version <= forgottenVersion_; }
  std::size_t size() const { return configurations_.size(); }
  /// The highest version that may have been evicted from the table.
  std::int64_t forgottenVersion() const { return forgottenVersion_; }
  /// A copy of the table that contains only the newest entry; all older entries count as evicted.
  AcceptedConfigurations newestOnly() const;

  std::string pack() const;
  static Result<AcceptedConfigurations> unpack(std::string_view packed, std::int64_t forgottenVersion);

 private:
  struct AcceptedConfiguration {
    std::int64_t version = 0;
    std::uint64_t digestHash = 0;
  };
  std::vector<AcceptedConfiguration> configurations_;  // in ascending order of version
  std::int64_t forgottenVersion_ = 0;
};

/// Applied operations by id, each with its verdict. A log entry that is submitted twice is applied once, and the
/// submitter can look up the verdict.
class OperationDeduplication {
 public:
  /// Maximum number of entries. A controller resubmits an entry for 3 s at most. A copy of the entry may wait for about
  /// a minute in a connection to a member that is stopped or partitioned, until the connection times out. The largest
  /// number of entries within a minute comes from a restart of all 600 runners of the design target: each runner
  /// drains, detaches and joins again (1,800 entries), and in the worst case each join is also reported to a second
  /// node. 4,096 entries cover this in 41 KB.
  static constexpr std::size_t kCapacity = 4096;

  /// @param verdict a `ReplicatedState::Verdict`, 0 to 65535.
  void record(std::string_view operationId, std::int32_t verdict);
  /// The verdict on an operation; none if the operation was not applied or was evicted from the table.
  std::optional<std::int32_t> outcomeOf(std::string_view operationId) const;
  std::size_t size() const { return operations_.size(); }
  /// The same operations with all verdicts set to 0, for replicas that have no waiting submitters.
  OperationDeduplication withoutVerdicts() const;

  std::string pack() const;
  static Result<OperationDeduplication> unpack(std::string_view packed);

 private:
  struct Operation {
    std::uint64_t idHash = 0;
    std::int32_t verdict = 0;
  };
  std::vector<Operation> operations_;  // oldest first
};

/// Permanently detached runners. A runner's id is never reused, so a late heartbeat with such an id is ignored.
class DetachedRunners {
 public:
  /// Maximum number of entries, in 32 KB. A heartbeat may be about a minute late if it waited at a node that was
  /// stopped or partitioned. If all 600 runners of the design target detach every minute, the first runner is evicted
  /// after more than six minutes; at the usual 450 detachments a day, after nine days.
  static constexpr std::size_t kCapacity = 4096;

  /// Records a runner. A runner that is already in the table keeps its position.
  void record(std::string_view runnerId);
  bool contains(std::string_view runnerId) const;
  std::size_t size() const { return idHashes_.size(); }

  std::string pack() const;
  static Result<DetachedRunners> unpack(std::string_view packed);

 private:
  std::vector<std::uint64_t> idHashes_;  // oldest first
};
}  // namespace zinccleat::state_machine
