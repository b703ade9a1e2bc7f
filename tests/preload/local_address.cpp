// Preloaded by a test: gives the outgoing TCP connections of a process the local address LOCAL_ADDRESS (IP:PORT), which
// the operating system might as well have chosen. A connection that cannot have it keeps the one that the system
// chooses.
#include <arpa/inet.h>
#include <dlfcn.h>
#include <sys/socket.h>

#include <cstdlib>
#include <cstring>
#include <string>

namespace {
void bindToLocalAddress(int socket) {
  const char* value = std::getenv("LOCAL_ADDRESS");
  if (!value)
    return;
  const std::string text(value);
  const auto colon = text.find(':');
  sockaddr_in local{};
  local.sin_family = AF_INET;
  if (colon == std::string::npos || ::inet_pton(AF_INET, text.substr(0, colon).c_str(), &local.sin_addr) != 1)
    return;
  local.sin_port = htons(static_cast<std::uint16_t>(std::atoi(text.c_str() + colon + 1)));
  (void)::bind(socket, reinterpret_cast<const sockaddr*>(&local), sizeof local);
}
}  // namespace

// The C library's header uses reserved names for the parameters.
// NOLINTNEXTLINE(readability-inconsistent-declaration-parameter-name)
extern "C" int connect(int socket, const sockaddr* address, socklen_t length) {
  using Connect = int (*)(int, const sockaddr*, socklen_t);
  static const auto next = reinterpret_cast<Connect>(::dlsym(RTLD_NEXT, "connect"));
  if (address->sa_family == AF_INET)
    bindToLocalAddress(socket);
  return next(socket, address, length);
}
