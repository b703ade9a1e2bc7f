/// @file
/// Table of the disk, network and clock faults that a soak run injects. The table is a file that the soak program and
/// the library preloaded into the processes (`tests/preload/fault_library.cpp`) map into memory. The soak program sets
/// the faults; the library reads them and counts down the faults that apply to a number of calls.
#pragma once
#include <array>
#include <atomic>
#include <cstdint>
#include <type_traits>

namespace zinccleat::soak {
constexpr std::size_t kMaxFaultMachines = 32;
constexpr std::size_t kFaultNameBytes = 32;
/// Name of the environment variable that holds the path of the table's file.
constexpr const char* kFaultTableVariable = "ZINCCLEAT_SOAK_FAULTS";

/// Faults of the disk and the clock of one machine.
struct MachineFaults {
  char name[kFaultNameBytes];         ///< name of the machine's settings file without `.json`; empty: unused entry
  char ip[kFaultNameBytes];           ///< address at which other machines connect to this one
  std::atomic<std::int32_t> syncMs;   ///< additional duration of each `fsync`, in milliseconds
  std::atomic<std::int32_t> stalled;  ///< not 0: `fsync` does not return until the value is 0 again
  std::atomic<std::int32_t> full;     ///< not 0: writes to files fail with ENOSPC
  std::atomic<std::int32_t> refusedWrites;  ///< number of writes to files that still fail with EIO
  std::atomic<std::int32_t> refusedSyncs;   ///< number of `fsync` calls that still fail with EIO
  std::atomic<std::int32_t> clockDivisor;   ///< above 1: CLOCK_MONOTONIC runs slower by this factor
};
/// The complete table. If all values are zero, no fault is injected.
struct FaultTable {
  std::array<MachineFaults, kMaxFaultMachines> machines;
  /// By sending and by receiving machine. Not 0: nothing is transmitted until the value is 0 again; data is then
  /// delivered late.
  std::array<std::array<std::atomic<std::int32_t>, kMaxFaultMachines>, kMaxFaultMachines> cut;
  /// By opening and by accepting machine. Each increment resets the open connections from the first to the second.
  std::array<std::array<std::atomic<std::int32_t>, kMaxFaultMachines>, kMaxFaultMachines> resets;
};
static_assert(std::atomic<std::int32_t>::is_always_lock_free, "the atomics are shared between processes");
}  // namespace zinccleat::soak
