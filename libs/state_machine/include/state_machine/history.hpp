// What the fleet's state still knows of things that are over: which configurations were taken, which operations were
// applied, which runners have ended. Each is bounded by what a caller can still send about it; the reasons stand at the
// bounds. Names and digests are kept as 64-bit hashes: an entry takes 8 to 16 bytes, and at these sizes two names meet
// in one hash less than once in a billion days. Every copy of the state holds the same, in the same order.
#pragma once
#include "runtime/common.hpp"

namespace zinccleat::state_machine {
// Configurations that were taken, by version and digest, so that an order sent again is acknowledged again.
class AcceptedConfigurations {
 public:
  // An operator sends an order again, as it was, until it has a clear answer. The pages set no end to that but the
  // day's. The target has 1,900 changes a day, so this is two days of them, in 64 KB at most. What is older is not
  // refused either: `mayBeForgotten` says that there is no clear answer.
  static constexpr std::size_t kMost = 4096;

  // Versions rise: a version at or below one noted before is ignored.
  void note(std::int64_t version, std::string_view digest);
  bool contains(std::int64_t version, std::string_view digest) const;
  // Whether a configuration of this version may have been taken without being known here any more.
  bool mayBeForgotten(std::int64_t version) const { return version <= forgottenVersion_; }
  std::size_t size() const { return taken_.size(); }
  std::int64_t forgottenVersion() const { return forgottenVersion_; }
  // The same knowledge without the table: only the newest is known, all others may be forgotten.
  AcceptedConfigurations newestOnly() const;

  std::string pack() const;
  static Result<AcceptedConfigurations> unpack(std::string_view packed, std::int64_t forgottenVersion);

 private:
  struct AcceptedConfiguration {
    std::int64_t version = 0;
    std::uint64_t digestHash = 0;
  };
  std::vector<AcceptedConfiguration> taken_;  // rising versions
  std::int64_t forgottenVersion_ = 0;
};

// Operations by their id, with what became of them: a write that comes twice is one write, and the writer that waits
// for its outcome finds it.
class OperationDeduplication {
 public:
  // A member sends a write again for 3 s at most (Core::write); a copy of it may wait in a connection to a member that
  // is frozen or cut off, for a minute or so, until that connection is given up. The most that is written in such a
  // time is a restart of all 600 runners of the target: each drains, ends and joins anew, 1,800 writes, and at worst
  // each join is told to a second node. 4,096 holds this; 37 KB.
  static constexpr std::size_t kMost = 4096;

  void note(std::string_view operationId, std::int32_t verdict);
  std::optional<std::int32_t> outcomeOf(std::string_view operationId) const;
  std::size_t size() const { return operations_.size(); }
  // The same operations, with verdict 0 for each: for copies at which nobody waits for one.
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

// Runners that have ended for good. A runner's id never comes back, so a late heartbeat of it changes nothing.
class DetachedRunners {
 public:
  // A heartbeat comes late when it waited at a node that was frozen or cut off: a minute or so. In that time all 600
  // runners of the target may be released (600 ends a minute), and flap at that rate for over six minutes before the
  // first is forgotten; at the usual 450 ends a day it is nine days. 32 KB at most.
  static constexpr std::size_t kMost = 4096;

  void note(std::string_view runnerId);
  bool contains(std::string_view runnerId) const;
  std::size_t size() const { return idHashes_.size(); }

  std::string pack() const;
  static Result<DetachedRunners> unpack(std::string_view packed);

 private:
  std::vector<std::uint64_t> idHashes_;  // oldest first
};
}  // namespace zinccleat::state_machine
