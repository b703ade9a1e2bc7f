/// @file
/// Memory and descriptors of a process, as the platform counts them.
#pragma once
#include <sys/types.h>

#include <cstddef>
#include <string>
#include <vector>
namespace zinccleat::crowds {
/// The usage of a process at one moment.
struct ProcessUsage {
  std::size_t residentBytes = 0;
  std::size_t unreadBytes = 0;  ///< bytes that have arrived on its sockets, accepted or not, and were not read
  std::size_t unsentBytes = 0;  ///< bytes that it has written to its sockets and that were not acknowledged
  int descriptors = 0;
  /// What the process and the platform hold for it.
  std::size_t totalBytes() const { return residentBytes + unreadBytes + unsentBytes; }
};
/// Reads the usage of a running process.
/// @param listeningAddresses "IP:port"; unread bytes of connections that were not accepted yet are counted by these.
ProcessUsage readUsage(pid_t process, const std::vector<std::string>& listeningAddresses);
/// The largest resident memory of a process so far, in bytes.
std::size_t peakResidentBytes(pid_t process);
}  // namespace zinccleat::crowds
