/// @file
/// Deduplication tables of the replicated state: which configurations were accepted, which operations were applied,
/// which runners are detached for good. They make repeated and late requests idempotent.
///
/// Each table is a bounded FIFO; the bound follows from how long a caller may repeat a request, as stated at each
/// `kCapacity`. Names and digests are kept as 64-bit hashes (8 to 16 bytes an entry). At these sizes two names share a
/// hash less than once in a billion days. All replicas hold the same entries in the same order.
///
/// `pack` and `unpack` convert a table to and from its form in a snapshot: integers of fixed width, little-endian.
/// `unpack` returns ErrorCode::corruption for a table that is torn, out of order or above its bound.
#pragma once
#include "runtime/common.hpp"

namespace zinccleat::state_machine {
/// The configurations that were accepted, by version and digest: a repeated Replace is acknowledged again.
class AcceptedConfigurations {
 public:
  /// An operator repeats a Replace until it has a definite answer, by the API's rules within a day. The design target
  /// is 1,900 changes a day, so this holds two days of them, in 64 KB. An older one is not rejected either:
  /// `mayBeForgotten` says that its outcome is unknown.
  static constexpr std::size_t kCapacity = 4096;

  /// Records an accepted configuration. Versions rise: one at or below the newest recorded version is ignored.
  void record(std::int64_t version, std::string_view digest);
  bool contains(std::int64_t version, std::string_view digest) const;
  /// Whether a configuration of this version may have been accepted and dropped from the table since.
  bool mayBeForgotten(std::int64_t version) const { return version <= forgottenVersion_; }
  std::size_t size() const { return configurations_.size(); }
  /// The highest version that may have been dropped from the table.
  std::int64_t forgottenVersion() const { return forgottenVersion_; }
  /// A table of the newest entry alone; all others count as forgotten.
  AcceptedConfigurations newestOnly() const;

  std::string pack() const;
  static Result<AcceptedConfigurations> unpack(std::string_view packed, std::int64_t forgottenVersion);

 private:
  struct AcceptedConfiguration {
    std::int64_t version = 0;
    std::uint64_t digestHash = 0;
  };
  std::vector<AcceptedConfiguration> configurations_;  // by rising version
  std::int64_t forgottenVersion_ = 0;
};

/// Applied operations by id, each with its verdict: a log entry that is submitted twice is applied once, and the
/// submitter finds the outcome.
class OperationDeduplication {
 public:
  /// A controller resubmits an entry for 3 s at most. A copy may wait in a connection to a member that is
  /// stopped or partitioned, for about a minute, until that connection times out. The most that is written in such a
  /// time is a restart of all 600 runners of the design target: each drains, detaches and joins anew, 1,800 entries,
  /// and at worst each join is reported to a second node. 4,096 entries hold this, in 41 KB.
  static constexpr std::size_t kCapacity = 4096;

  /// @param verdict a `ReplicatedState::Verdict`, 0 to 65535.
  void record(std::string_view operationId, std::int32_t verdict);
  /// The verdict on an operation; none if it was not applied or is forgotten.
  std::optional<std::int32_t> outcomeOf(std::string_view operationId) const;
  std::size_t size() const { return operations_.size(); }
  /// The same operations with verdict 0 each, for replicas at which no submitter waits.
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

/// Runners that are detached for good. A runner's id is never reused, so a late heartbeat of one is ignored.
class DetachedRunners {
 public:
  /// A heartbeat may be late by about a minute, when it waited at a node that was stopped or partitioned. All 600
  /// runners of the design target may detach within a minute, and do so again each minute for over six minutes before
  /// the first is forgotten; at the usual 450 detachments a day it takes nine days. 32 KB.
  static constexpr std::size_t kCapacity = 4096;

  /// Records a runner; one that is in the table keeps its position.
  void record(std::string_view runnerId);
  bool contains(std::string_view runnerId) const;
  std::size_t size() const { return idHashes_.size(); }

  std::string pack() const;
  static Result<DetachedRunners> unpack(std::string_view packed);

 private:
  std::vector<std::uint64_t> idHashes_;  // oldest first
};
}  // namespace zinccleat::state_machine
