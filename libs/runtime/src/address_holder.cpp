#include "runtime/address_holder.hpp"

#include <arpa/inet.h>

#include <array>
#include <cstdio>
#include <fstream>
#include <sstream>

namespace zinccleat::runtime {
namespace {
constexpr unsigned kTimeWaitState = 0x06;  // values of the table's state column
constexpr unsigned kListenState = 0x0a;
constexpr std::uint32_t kAnyAddress = 0;

/// One line of the table.
struct TableRow {
  tcp::endpoint local, remote;
  unsigned state = 0;
};
tcp::endpoint endpointOf(unsigned address, unsigned port) {
  return {asio::ip::address_v4(ntohl(address)), static_cast<std::uint16_t>(port)};
}
std::optional<TableRow> parseRow(const std::string& line) {
  unsigned localAddress = 0;
  unsigned localPort = 0;
  unsigned remoteAddress = 0;
  unsigned remotePort = 0;
  unsigned state = 0;
  if (std::sscanf(line.c_str(), " %*d: %8x:%4x %8x:%4x %2x", &localAddress, &localPort, &remoteAddress, &remotePort,
                  &state) != 5)
    return std::nullopt;
  return TableRow{endpointOf(localAddress, localPort), endpointOf(remoteAddress, remotePort), state};
}
bool conflicts(const tcp::endpoint& local, const tcp::endpoint& address) {
  const bool anyAddress = local.address().to_v4().to_uint() == kAnyAddress;
  return local.port() == address.port() && (anyAddress || local.address() == address.address());
}
std::string textOf(const tcp::endpoint& endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}
std::string describeConnection(const TableRow& row) {
  const auto* what = row.state == kTimeWaitState ? "held by a closed connection to " : "held by a connection to ";
  return what + textOf(row.remote);
}
}  // namespace

AddressUse findAddressUse(std::string_view table, const tcp::endpoint& address) {
  AddressUse use;
  if (!address.address().is_v4())
    return use;
  std::istringstream lines{std::string(table)};
  for (std::string line; std::getline(lines, line);) {
    const auto row = parseRow(line);
    if (!row || !conflicts(row->local, address))
      continue;
    if (row->state == kListenState)
      return {AddressHolder::listener, "held by a listening process"};
    use = {AddressHolder::connection, describeConnection(*row)};
  }
  return use;
}
AddressUse findAddressUse(const tcp::endpoint& address) {
  std::ifstream file("/proc/net/tcp");
  std::ostringstream table;
  table << file.rdbuf();
  return findAddressUse(table.str(), address);
}
}  // namespace zinccleat::runtime
