/// @file
/// Faults of disks and links on the real processes of a soak run, through the library that they preload.
#pragma once
#include "fault_table.hpp"
#include "runtime/common.hpp"

namespace zinccleat::soak {
/// The soak's side of the fault table. Machines are named by their place in the table.
class FaultControl {
 public:
  /// @param library the path of the preloaded library.
  /// @param folder where the table's file goes; it must outlive the processes.
  FaultControl(const std::string& library, const std::string& folder);
  ~FaultControl();
  FaultControl(const FaultControl&) = delete;
  FaultControl& operator=(const FaultControl&) = delete;
  /// Processes that are started from now on preload the library.
  void preload() const;
  /// Adds a machine before any of its processes starts.
  /// @return its place.
  std::size_t addMachine(const std::string& name, const std::string& ip);
  MachineFaults& machine(std::size_t place) { return table_->machines[place]; }
  /// Loses packets from each of `from` to each of `to`, or ends that.
  void cut(const std::vector<std::size_t>& from, const std::vector<std::size_t>& to, bool lost);
  /// Resets what a machine has open to another.
  void reset(std::size_t from, std::size_t to);
  /// Ends all faults of disks and links.
  void endAll();

 private:
  std::string library_, path_;
  FaultTable* table_ = nullptr;
  std::size_t machines_ = 0;
};
}  // namespace zinccleat::soak
