/// Names for this member's own writes. A name never returns: not in this life of the process, not in another one of the
/// same member, not at another member. Why it matters: an operation's verdict is kept under its name, so two orders
/// with one name would share one verdict, and the second would be confirmed although only the first was taken.
#pragma once
#include <cstdio>

#include "runtime/common.hpp"
namespace zinccleat::controller {
class OperationIds {
 public:
  /// member: the identity that this machine keeps over its lives. boot: drawn anew at each start, all 64 bits count.
  OperationIds(const std::string& member, std::uint64_t boot) : prefix_(member + "/" + hex(boot) + ".") {}
  std::string next() { return prefix_ + std::to_string(++count_); }

 private:
  static std::string hex(std::uint64_t number) {
    char digits[17];
    std::snprintf(digits, sizeof digits, "%016llx", static_cast<unsigned long long>(number));
    return digits;
  }
  std::string prefix_;
  std::uint64_t count_ = 0;
};
}  // namespace zinccleat::controller
