#include "process_usage.hpp"

#include <arpa/inet.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

#include "runtime/connection.hpp"

namespace zinccleat::crowds {
namespace {
namespace fs = std::filesystem;
constexpr std::size_t kBytesPerKb = 1024;
constexpr int kListening = 0x0a;  // of the state column of /proc/net/tcp

std::size_t statusField(pid_t process, const std::string& name) {
  std::ifstream status("/proc/" + std::to_string(process) + "/status");
  for (std::string line; std::getline(status, line);)
    if (line.starts_with(name))
      return std::stoull(line.substr(name.size())) * kBytesPerKb;
  return 0;
}
/// The inodes of the process's sockets. @param descriptors receives the number of all its descriptors.
std::set<unsigned long> socketInodes(pid_t process, int& descriptors) {
  std::set<unsigned long> inodes;
  std::error_code ec;
  for (fs::directory_iterator it("/proc/" + std::to_string(process) + "/fd", ec), end; !ec && it != end;
       it.increment(ec)) {
    ++descriptors;
    std::error_code closed;
    const auto target = fs::read_symlink(it->path(), closed).string();
    unsigned long inode = 0;
    if (!closed && std::sscanf(target.c_str(), "socket:[%lu]", &inode) == 1)
      inodes.insert(inode);
  }
  return inodes;
}
/// The endpoint as /proc/net/tcp writes it.
std::string hexEndpoint(const std::string& address) {
  const auto endpoint = *runtime::parseEndpoint(address);
  char text[24];
  std::snprintf(text, sizeof text, "%08X:%04X", htonl(endpoint.address().to_v4().to_uint()), endpoint.port());
  return text;
}
}  // namespace

ProcessUsage readUsage(pid_t process, const std::vector<std::string>& listeningAddresses) {
  ProcessUsage usage;
  usage.residentBytes = statusField(process, "VmRSS:");
  const auto inodes = socketInodes(process, usage.descriptors);
  std::set<std::string> listening;
  for (const auto& address : listeningAddresses)
    listening.insert(hexEndpoint(address));
  std::ifstream table("/proc/net/tcp");
  for (std::string line; std::getline(table, line);) {
    char local[24];
    unsigned int state = 0;
    unsigned int unread = 0;
    unsigned int unsent = 0;
    unsigned long inode = 0;
    if (std::sscanf(line.c_str(), " %*d: %23s %*s %x %x:%x %*s %*s %*u %*u %lu", local, &state, &unsent, &unread,
                    &inode) != 5)
      continue;
    const bool notAccepted = inode == 0 && listening.contains(local);
    if (state == kListening || (!inodes.contains(inode) && !notAccepted))
      continue;
    usage.unreadBytes += unread;
    usage.unsentBytes += unsent;
  }
  return usage;
}
std::size_t peakResidentBytes(pid_t process) {
  return statusField(process, "VmHWM:");
}
}  // namespace zinccleat::crowds
