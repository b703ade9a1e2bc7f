/// @file
/// Generates ids for the writes that this member accepts. No id is used twice, neither by this process, nor by another
/// incarnation of the same member, nor by another member. The outcome of a write is stored under its id: two writes
/// with the same id would share one outcome, and the second would be confirmed although only the first was accepted.
#pragma once
#include <cstdio>

#include "runtime/common.hpp"
namespace zinccleat::controller {
/// Generates ids for writes; see the file comment.
class OperationIds {
 public:
  /// @param member the member id, which the machine keeps across restarts.
  /// @param incarnation random number drawn at each start; all 64 bits are part of the ids.
  OperationIds(const std::string& member, std::uint64_t incarnation) : prefix_(member + "/" + hex(incarnation) + ".") {}
  /// Returns a new id.
  std::string next() { return prefix_ + std::to_string(++count_); }

 private:
  static std::string hex(std::uint64_t number) {
    constexpr std::size_t kDigits = 16;
    std::string digits(kDigits + 1, '\0');
    std::snprintf(digits.data(), digits.size(), "%016llx", static_cast<unsigned long long>(number));
    digits.resize(kDigits);
    return digits;
  }
  std::string prefix_;
  std::uint64_t count_ = 0;
};
}  // namespace zinccleat::controller
