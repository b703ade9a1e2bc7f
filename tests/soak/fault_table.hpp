/// @file
/// The faults of disks and links that a soak run plays, as a table in a file that the soak and the programs' preloaded
/// library (`tests/preload/fault_library.cpp`) map into memory. The soak writes, the library reads.
#pragma once
#include <array>
#include <atomic>
#include <cstdint>
#include <type_traits>

namespace zinccleat::soak {
constexpr std::size_t kMaxFaultMachines = 32;
constexpr std::size_t kFaultNameBytes = 32;
/// The environment variable that holds the path of the table's file.
constexpr const char* kFaultTableVariable = "ZINCCLEAT_SOAK_FAULTS";

/// The disk and the clock of one machine.
struct MachineFaults {
  char name[kFaultNameBytes];               ///< as its settings file is named; empty: no machine
  char ip[kFaultNameBytes];                 ///< where the others reach it
  std::atomic<std::int32_t> syncMs;         ///< each sync takes so much longer
  std::atomic<std::int32_t> stalled;        ///< not 0: syncs do not end
  std::atomic<std::int32_t> full;           ///< not 0: writes find no space
  std::atomic<std::int32_t> refusedWrites;  ///< so many writes fail
  std::atomic<std::int32_t> refusedSyncs;   ///< so many syncs fail
  std::atomic<std::int32_t> clockDivisor;   ///< above 1: the steady clock runs so much slower
};
/// The whole table. All zero: no faults.
struct FaultTable {
  std::array<MachineFaults, kMaxFaultMachines> machines;
  /// Not 0: packets from the first machine to the second are lost until it is 0 again; then they come late.
  std::array<std::array<std::atomic<std::int32_t>, kMaxFaultMachines>, kMaxFaultMachines> cut;
  /// Rises: connections that the first machine has opened to the second are reset.
  std::array<std::array<std::atomic<std::int32_t>, kMaxFaultMachines>, kMaxFaultMachines> resets;
};
static_assert(std::atomic<std::int32_t>::is_always_lock_free, "shared between processes");
}  // namespace zinccleat::soak
