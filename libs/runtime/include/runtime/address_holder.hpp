/// Finds out which socket of this machine keeps a TCP address in use, from the kernel's table of sockets.
///
/// A start that meets an address in use must tell a previous instance, which ends within the grace period, from a
/// connection that has the address as its local one, which may last for longer.
#pragma once
#include "runtime/asio.hpp"
#include "runtime/common.hpp"
namespace zinccleat::runtime {
/// The kind of socket that has an address as its local one.
enum class AddressHolder : std::uint8_t {
  unknown,     ///< the table cannot be read, or names no such socket
  listener,    ///< another process listens there
  connection,  ///< a connection, also one that has been closed and is kept for a while (TIME_WAIT)
};
/// The holder of an address, for logs and for the decision how long to wait for it.
struct AddressUse {
  AddressHolder holder = AddressHolder::unknown;
  std::string description;  ///< one clause for an operator, such as "held by a connection to 10.0.0.9:8407"
};
/// Searches a table in the format of /proc/net/tcp. A listener takes precedence over connections.
AddressUse findAddressUse(std::string_view table, const tcp::endpoint& address);
/// Searches the table of this machine.
AddressUse findAddressUse(const tcp::endpoint& address);
}  // namespace zinccleat::runtime
