/// @file
/// The stored layouts of snapshots. The order and the types of the fields define the format and must not change; the
/// quoted names are those of the Avro schema.
#pragma once
#include "state_machine/fleet_state.hpp"

namespace zinccleat::state_machine::format {
/// Common prefix of all formats from format 2 on. Format 1 has no prefix: it begins with a boolean, a byte 0 or 1.
constexpr std::string_view kPrefix = "zcstate";
/// Prefix of format 2.
constexpr std::string_view kPrefix2 = "zcstate2";

/// The main record of format 2, which follows the prefix.
struct Snapshot2 {
  std::int64_t index = 0;
  std::int64_t term = 0;
  std::int64_t version = 0;
  std::string configuration;  // empty in a partial snapshot
  std::string digest;
  bool partial = false;
  std::string delta;  // partial: on the receiver's configuration; empty: the receiver has the same configuration
  std::vector<Runner> runners;
  std::vector<ZoneDrain> zoneDrains;
  std::string acceptedConfigurations;  // packed, like `operations` and `detachedRunners`
  std::int64_t forgottenVersion = 0;
  std::string operations;
  std::string detachedRunners;
  template <class V>
  void fields(V& v) {
    v("index", index), v("term", term), v("version", version), v("configuration", configuration), v("digest", digest);
    v("partial", partial), v("difference", delta), v("runners", runners), v("zoneDrains", zoneDrains);
    v("taken", acceptedConfigurations), v("forgottenVersion", forgottenVersion);
    v("operations", operations), v("detachedRunners", detachedRunners);
  }
};

/// The record after the main record of format 2; omitted together with all following records if they are empty.
/// Versions of this program without rollouts ignore it.
struct Snapshot2Extension {
  std::vector<RunnerSoftware> software;  // one for each runner of the snapshot, in the same order
  std::vector<Rollout> rollouts;
  template <class V>
  void fields(V& v) {
    v("software", software), v("rollouts", rollouts);
  }
};

/// The record after `Snapshot2Extension` and `ShardFounding`; omitted if it and `Snapshot2Usage` are empty. If it is
/// present, `ShardFounding` is present too. Versions of this program without evacuations ignore it.
struct Snapshot2Evacuations {
  std::vector<std::string> zones;
  template <class V>
  void fields(V& v) {
    v("zones", zones);
  }
};

/// The record after `Snapshot2Evacuations`, in snapshots for controllers only; omitted if it is empty. If it is
/// present, `Snapshot2Evacuations` is present too.
struct Snapshot2Usage {
  std::vector<std::int64_t> windows;    // windows that have a report
  std::vector<std::int64_t> reporters;  // number of reporters of each window, in the order of `windows`
  std::vector<UsageReport> unconfirmed;
  template <class V>
  void fields(V& v) {
    v("windows", windows), v("reporters", reporters), v("unconfirmed", unconfirmed);
  }
};

/// The record after `Snapshot2Usage`, in snapshots for controllers only; omitted if it is empty. If it is present,
/// `Snapshot2Usage` is present too. Versions of this program without order positions ignore it.
struct Snapshot2Orders {
  std::vector<std::string> subjects;
  std::vector<std::int64_t> indexes;   // in the order of `subjects`
  std::vector<std::int64_t> contents;  // in the order of `subjects`
  template <class V>
  void fields(V& v) {
    v("subjects", subjects), v("indexes", indexes), v("contents", contents);
  }
};

/// An accepted configuration in format 1.
struct AcceptedConfiguration1 {
  std::int64_t version = 0;
  std::string digest;
  template <class V>
  void fields(V& v) {
    v("version", version), v("digest", digest);
  }
};
/// An applied operation in format 1.
struct Operation1 {
  std::string operationId;
  std::int32_t verdict = 0;
  template <class V>
  void fields(V& v) {
    v("operationId", operationId), v("verdict", verdict);
  }
};
/// Format 1 of a snapshot, which is only read. Its deduplication tables are lists of names instead of hashes.
struct Snapshot1 {
  /// Maximum number of accepted configurations in a snapshot of format 1.
  static constexpr std::size_t kAcceptedCapacity = 64;

  bool partial = false;
  std::string delta;
  std::int64_t index = 0;
  std::int64_t term = 0;
  std::int64_t version = 0;
  std::string configuration;
  std::string digest;
  std::vector<AcceptedConfiguration1> acceptedConfigurations;  // in ascending order of version
  std::vector<Runner> runners;
  std::vector<std::string> detachedRunners;
  std::vector<Operation1> operations;
  std::vector<ZoneDrain> zoneDrains;
  template <class V>
  void fields(V& v) {
    v("partial", partial), v("difference", delta);
    v("index", index), v("term", term), v("version", version), v("configuration", configuration), v("digest", digest);
    v("taken", acceptedConfigurations), v("runners", runners), v("gone", detachedRunners), v("done", operations);
    v("zoneDrains", zoneDrains);
  }
};
}  // namespace zinccleat::state_machine::format
