/// Limits the memory that all connections of a process together hold for messages. Memory is reserved before bytes are
/// read into it, so that the process stays below the limit of its machine whatever its peers send.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::runtime {
/// The bytes that may be reserved, and those that are. Used on one thread.
class MemoryBudget {
 public:
  /// A reservation of more bytes than this may use only three quarters of the budget, so that large messages leave room
  /// for small ones.
  static constexpr std::size_t kLargeBytes = std::size_t{64} * 1024;

  explicit MemoryBudget(std::size_t limit = std::size_t{1} << 40) : limit_(limit) {}
  /// Adds bytes to a reservation of `reserved` bytes.
  /// @return false, without an effect, if that would exceed the budget.
  bool tryReserve(std::size_t reserved, std::size_t more) {
    const auto limit = reserved + more > kLargeBytes ? limit_ / 4 * 3 : limit_;
    if (more > limit || used_ > limit - more)
      return false;
    used_ += more;
    return true;
  }
  void release(std::size_t bytes) { used_ -= bytes; }
  std::size_t used() const { return used_; }
  std::size_t limit() const { return limit_; }

 private:
  std::size_t limit_;
  std::size_t used_ = 0;
};

/// The reservation of one message exchange, which its destructor releases. The budget must outlive it.
class MemoryReservation {
 public:
  explicit MemoryReservation(MemoryBudget& budget) : budget_(&budget) {}
  ~MemoryReservation() { budget_->release(bytes_); }
  MemoryReservation(const MemoryReservation&) = delete;
  MemoryReservation& operator=(const MemoryReservation&) = delete;
  /// Enlarges the reservation to a number of bytes; a smaller number has no effect.
  /// @return false, without an effect, if the budget does not allow it.
  bool tryGrowTo(std::size_t bytes) {
    if (bytes <= bytes_)
      return true;
    if (!budget_->tryReserve(bytes_, bytes - bytes_))
      return false;
    bytes_ = bytes;
    return true;
  }
  /// Reduces the reservation to a number of bytes; a larger number has no effect.
  void shrinkTo(std::size_t bytes) {
    if (bytes >= bytes_)
      return;
    budget_->release(bytes_ - bytes);
    bytes_ = bytes;
  }
  std::size_t bytes() const { return bytes_; }

 private:
  MemoryBudget* budget_;
  std::size_t bytes_ = 0;
};
}  // namespace zinccleat::runtime
