/// @file
/// Calls to the platform, made only by the leader. Each call runs on a fiber of its own, under the leader's lease, and
/// carries the leader's term as its fencing token. `platform::CallSchedule` decides which calls may be made when.
///
/// The term is a safe fencing token because the log elects one leader per term, and terms increase with each election,
/// also across restarts and lost disks (a majority has synced them). No two machines ever send the same token.
/// Everything runs on the event-loop thread.
#pragma once
#include "controller_context.hpp"
#include "platform/call_schedule.hpp"
namespace zinccleat::controller {
/// Client for calls to the platform; see the file comment.
class PlatformClient {
 public:
  /// One call to the platform.
  struct Call {
    std::string subject;
    std::string path;
    std::string body;  ///< JSON
  };
  /// @param context must outlive this object; its settings must name a platform.
  explicit PlatformClient(const ControllerContext& context);
  void startTerm(TimePoint now) { schedule_.startTerm(now); }
  /// Whether a call with this subject may be made now.
  bool mayCall(const std::string& subject, TimePoint now) const;
  /// Makes a call in the background. The caller has checked `mayCall`.
  /// @param ended is called once, on the event loop, unless the term has ended in the meantime.
  void call(Call call, std::function<void(platform::CallOutcome)> ended);

 private:
  platform::CallOutcome exchange(const Call& call) const;

  const ControllerContext& context_;
  platform::CallSchedule schedule_;
};
}  // namespace zinccleat::controller
