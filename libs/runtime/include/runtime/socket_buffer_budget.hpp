/// @file
/// Limits what the operating system holds for the connections of a process: bytes that peers have sent and the process
/// has not read, and bytes that it has written and peers have not taken.
///
/// Each socket has buffers of `kBaseBytes`, which the fixed charge of its connection covers. A larger buffer is a share
/// of what is left of one budget for both directions. It counts until the connection is closed, because a window that
/// was offered to a peer cannot be taken back.
#pragma once
#include <algorithm>
#include <cstddef>

namespace zinccleat::runtime {
class SocketBufferBudget {
 public:
  /// The buffer of a socket that has nothing of the budget.
  static constexpr std::size_t kBaseBytes = std::size_t{16} * 1024;
  /// The largest buffer.
  static constexpr std::size_t kMaxBytes = std::size_t{256} * 1024;
  /// The operating system may hold this many times the size of a buffer.
  static constexpr std::size_t kStoredPerByte = 2;
  /// One buffer gets at most this fraction of what is left, so that many get something.
  static constexpr std::size_t kShareDivisor = 32;

  explicit SocketBufferBudget(std::size_t limit = std::size_t{1} << 40) : limit_(limit) {}
  /// Enlarges a buffer.
  /// @param size    its size now
  /// @param wanted  the size that the connection can use
  /// @return its new size: `size` if the share is not larger.
  std::size_t enlarge(std::size_t size, std::size_t wanted) {
    const auto share = kBaseBytes + (limit_ - used_) / kShareDivisor / kStoredPerByte;
    const auto granted = std::max(size, std::min({wanted, share, kMaxBytes}));
    used_ += kStoredPerByte * (granted - size);
    return granted;
  }
  /// Returns what a buffer of this size had beyond `kBaseBytes`.
  void release(std::size_t size) { used_ -= kStoredPerByte * (size - kBaseBytes); }
  std::size_t used() const { return used_; }
  std::size_t limit() const { return limit_; }

 private:
  std::size_t limit_;
  std::size_t used_ = 0;
};

/// One buffer of a socket, counted in a budget until it is destroyed. The budget must outlive it.
class SocketBuffer {
 public:
  SocketBuffer() = default;
  ~SocketBuffer() {
    if (budget_)
      budget_->release(size_);
  }
  SocketBuffer(const SocketBuffer&) = delete;
  SocketBuffer& operator=(const SocketBuffer&) = delete;
  /// Enlarges the buffer from the budget, which must be the same in all calls.
  /// @return whether it is larger than before.
  bool enlarge(SocketBufferBudget& budget, std::size_t wanted) {
    if (wanted <= size_)
      return false;
    budget_ = &budget;
    const auto before = size_;
    size_ = budget.enlarge(before, wanted);
    return size_ > before;
  }
  std::size_t size() const { return size_; }

 private:
  SocketBufferBudget* budget_ = nullptr;
  std::size_t size_ = SocketBufferBudget::kBaseBytes;
};
}  // namespace zinccleat::runtime
