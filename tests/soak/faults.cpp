#include "faults.hpp"

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <cstdlib>
#include <cstring>

namespace zinccleat::soak {
FaultControl::FaultControl(const std::string& library, const std::string& folder)
    : library_(library), path_(folder + "/faults") {
  const int file = ::open(path_.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  checkInvariant(file >= 0 && ::ftruncate(file, sizeof(FaultTable)) == 0, "the file of the fault table can be created");
  void* memory = ::mmap(nullptr, sizeof(FaultTable), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
  checkInvariant(memory != MAP_FAILED, "the fault table can be mapped into memory");
  ::close(file);
  table_ = static_cast<FaultTable*>(memory);
}
FaultControl::~FaultControl() {
  ::munmap(table_, sizeof(FaultTable));
}
void FaultControl::preload() const {
  ::setenv(kFaultTableVariable, path_.c_str(), 1);
  ::setenv("LD_PRELOAD", library_.c_str(), 1);
}
std::size_t FaultControl::addMachine(const std::string& name, const std::string& ip) {
  checkInvariant(machines_ < kMaxFaultMachines, "the fault table has a free entry for a machine");
  auto& added = table_->machines[machines_];
  std::strncpy(added.name, name.c_str(), kFaultNameBytes - 1);
  std::strncpy(added.ip, ip.c_str(), kFaultNameBytes - 1);
  return machines_++;
}
void FaultControl::cut(const std::vector<std::size_t>& from, const std::vector<std::size_t>& to, bool lost) {
  for (const auto sender : from)
    for (const auto receiver : to)
      if (sender != receiver)
        table_->cut[sender][receiver] = lost ? 1 : 0;
}
void FaultControl::reset(std::size_t from, std::size_t to) {
  ++table_->resets[from][to];
}
void FaultControl::endAll() {
  for (std::size_t i = 0; i < machines_; ++i) {
    auto& each = table_->machines[i];
    each.syncMs = 0;
    each.stalled = 0;
    each.full = 0;
    each.refusedWrites = 0;
    each.refusedSyncs = 0;
    each.clockDivisor = 0;
    for (std::size_t j = 0; j < machines_; ++j)
      table_->cut[i][j] = 0;
  }
}
}  // namespace zinccleat::soak
