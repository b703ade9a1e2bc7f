// Guards against a start that ends while its address will be free again: who holds an address decides how long it
// waits.
#include "runtime/address_holder.hpp"

#include <gtest/gtest.h>

namespace zinccleat::runtime {
namespace {
constexpr std::string_view kHeading =
    "  sl  local_address rem_address   st tx_queue rx_queue tr tm->when retrnsmt   uid  timeout inode\n";
// 127.0.0.5:7661 in the kernel's notation on a machine with the least significant byte first, as all supported ones.
constexpr std::string_view kLocal = "0500007F:1DED";
const tcp::endpoint kAddress(asio::ip::make_address("127.0.0.5"), 7661);

std::string row(std::string_view local, std::string_view remote, std::string_view state) {
  return "   0: " + std::string(local) + " " + std::string(remote) + " " + std::string(state) +
         " 00000000:00000000 00:00000000 00000000     0        0 5290 1 0\n";
}
AddressUse useIn(const std::string& rows) {
  return findAddressUse(std::string(kHeading) + rows, kAddress);
}
}  // namespace

TEST(AddressHolder, IsTheSocketThatHasTheAddress) {
  const auto listening = row(kLocal, "00000000:0000", "0A");
  const auto connected = row(kLocal, "0900007F:20D7", "01");
  const auto closed = row(kLocal, "0900007F:20D7", "06");
  EXPECT_EQ(useIn(listening).holder, AddressHolder::listener);
  EXPECT_EQ(useIn(connected).holder, AddressHolder::connection);
  EXPECT_EQ(useIn(connected).description, "held by a connection to 127.0.0.9:8407");
  EXPECT_EQ(useIn(closed).description, "held by a closed connection to 127.0.0.9:8407");
  EXPECT_EQ(useIn(connected + listening).holder, AddressHolder::listener) << "the listener is what has to end";
}
TEST(AddressHolder, OtherAddressesAndPortsDoNotCount) {
  EXPECT_EQ(useIn(row("0600007F:1DED", "0900007F:20D7", "01")).holder, AddressHolder::unknown);
  EXPECT_EQ(useIn(row("0500007F:1DEE", "0900007F:20D7", "01")).holder, AddressHolder::unknown);
  EXPECT_EQ(useIn(row("00000000:1DED", "00000000:0000", "0A")).holder, AddressHolder::listener)
      << "a listener at all addresses";
}
TEST(AddressHolder, ATableThatCannotBeReadTellsNothing) {
  for (const std::string table : {"", "no table", "   0: 05", "   0: XX:YY ZZ:00 01"})
    EXPECT_EQ(findAddressUse(table, kAddress).holder, AddressHolder::unknown);
}
}  // namespace zinccleat::runtime
