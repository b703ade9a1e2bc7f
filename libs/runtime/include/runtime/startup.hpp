/// The start of a daemon, which owns all waits before the event loop runs: what the start waits for, for how long, and
/// what a request to end does meanwhile.
///
/// The previous instance of the process may still hold an address or the data folder while it ends, the settings file
/// may be written at this moment, and a disk may fail for a while. Such an obstacle usually passes, and a process that
/// ended at once would be restarted into the same obstacle. Every wait has a limit, after which the start fails. While
/// a step waits, SIGTERM and SIGINT end the start within `kRetryInterval`.
#pragma once
#include <array>
#include <atomic>
#include <future>

#include "runtime/common.hpp"
namespace zinccleat::runtime {
/// What keeps a step of the start from succeeding.
enum class Obstacle : std::uint8_t {
  permanent,   ///< waiting cannot help: a wrong path, missing permissions, another format, an invalid argument
  settings,    ///< the settings file cannot be read or is invalid; it may be written at this moment
  inUse,       ///< an address or the data folder is in use, or a resource of the machine is exhausted
  disk,        ///< the disk fails
  connection,  ///< a connection of this machine has the address as its local one
};
/// Returns the obstacle behind an error of a listener or of the disk.
Obstacle obstacleOf(const Error& error);

/// For how long the start waits for each kind of obstacle, from the first time that it meets the kind.
struct StartupTimeouts {
  Duration settings{5000};
  /// Longer than the time within which the platform ends a previous instance of the process; see `Startup::setGrace`.
  Duration inUse{10000};
  Duration disk{60000};
  /// Longer than the time for which the kernel keeps the address of a closed connection (TIME_WAIT, 60 s).
  Duration connection{75000};
};
/// The clock and the pauses of a start; replaced in tests.
struct StartupEnvironment {
  std::function<TimePoint()> now;
  /// Sleeps for a time. @return false as soon as the process was asked to end.
  std::function<bool(Duration)> pause;
};
/// The environment of a real process. Its pauses end when SIGTERM or SIGINT is pending; the signals must be blocked
/// (`blockLifecycleSignals`).
StartupEnvironment processEnvironment();

/// One start of a daemon; see the file comment. While one thread is in `await`, the thread that it waits for may use
/// `retryAfter` and `retry`; otherwise one thread uses the object.
class Startup {
 public:
  static constexpr Duration kRetryInterval{50};

  explicit Startup(StartupTimeouts timeouts = {}, StartupEnvironment environment = processEnvironment())
      : timeouts_(timeouts), environment_(std::move(environment)) {}

  /// Adjusts the limit for resources in use to the grace period: a previous instance holds them at most that long.
  void setGrace(Duration grace);
  /// Decides whether a step that failed is tried again, and waits before that.
  /// @return false if the error is final: the obstacle is permanent, its limit has passed, or the process was asked to
  /// end.
  bool retryAfter(const Error& error) { return retryAfter(obstacleOf(error), error); }
  bool retryAfter(Obstacle obstacle, const Error& error);
  /// Repeats a step, which returns a `Result`, for as long as `retryAfter` says.
  template <class Step>
  auto retry(Step step) -> decltype(step()) {
    for (;;) {
      auto result = step();
      if (result || !retryAfter(result.error()))
        return result;
    }
  }
  /// Waits for a result of another thread, such as the disk thread. The thread may block for ever in the operating
  /// system, so the wait has a limit.
  /// @return `ErrorCode::ioError` if the limit has passed or the process was asked to end.
  template <class T>
  Result<T> await(std::future<Result<T>> future) {
    const auto end = environment_.now() + timeouts_.disk * 2;  // the thread itself may wait for up to `disk`
    while (future.wait_for(kRetryInterval) != std::future_status::ready)
      if (!mayContinueToWait(end))
        return makeError(ErrorCode::ioError, "the disk does not answer");
    return future.get();
  }
  /// Whether the process was asked to end while a step waited.
  bool terminationRequested() const { return terminationRequested_; }

 private:
  static constexpr std::size_t kObstacles = 5;
  Duration timeoutFor(Obstacle obstacle) const;
  bool mayContinueToWait(TimePoint end);

  StartupTimeouts timeouts_;
  StartupEnvironment environment_;
  std::array<std::optional<TimePoint>, kObstacles> metAt_;  // by `Obstacle`
  std::atomic<bool> terminationRequested_ = false;
};
}  // namespace zinccleat::runtime
