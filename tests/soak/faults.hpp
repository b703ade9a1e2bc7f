/// @file
/// Controls the disk, network and clock faults of the processes of a soak run, through the preloaded fault library.
#pragma once
#include "fault_table.hpp"
#include "runtime/common.hpp"

namespace zinccleat::soak {
/// Creates and writes the fault table. Machines are identified by their index in the table.
class FaultControl {
 public:
  /// @param library the path of the preloaded library.
  /// @param folder the folder for the table's file; the folder must outlive the processes.
  FaultControl(const std::string& library, const std::string& folder);
  ~FaultControl();
  FaultControl(const FaultControl&) = delete;
  FaultControl& operator=(const FaultControl&) = delete;
  /// Sets the environment so that processes started from now on preload the library.
  void preload() const;
  /// Adds a machine. Must be called before a process of this machine starts.
  /// @return the index of the machine in the table.
  std::size_t addMachine(const std::string& name, const std::string& ip);
  MachineFaults& machine(std::size_t place) { return table_->machines[place]; }
  /// Starts or ends (`lost` false) the loss of packets from each machine of `from` to each machine of `to`.
  void cut(const std::vector<std::size_t>& from, const std::vector<std::size_t>& to, bool lost);
  /// Resets the connections that machine `from` has opened to machine `to`.
  void reset(std::size_t from, std::size_t to);
  /// Ends all faults of disks, links and clocks.
  void endAll();

 private:
  std::string library_, path_;
  FaultTable* table_ = nullptr;
  std::size_t machines_ = 0;
};
}  // namespace zinccleat::soak
