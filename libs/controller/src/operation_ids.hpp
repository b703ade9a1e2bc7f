/// @file
/// Ids of the writes that this member takes. An id is never used twice: not by this process, not by another
/// incarnation of the same member, not by another member. The outcome of a write is kept under its id, so two writes
/// with one id would share one outcome, and the second would be confirmed although only the first was accepted.
#pragma once
#include <cstdio>

#include "runtime/common.hpp"
namespace zinccleat::controller {
/// Draws ids for writes; see the file's comment.
class OperationIds {
 public:
  /// @param member the id that this machine keeps over its restarts.
  /// @param incarnation drawn at random at each start; all 64 bits count.
  OperationIds(const std::string& member, std::uint64_t incarnation) : prefix_(member + "/" + hex(incarnation) + ".") {}
  /// A new id.
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
