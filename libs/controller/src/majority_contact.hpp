/// @file
/// Whether this controller is in contact with a majority of the voters. Calls are acknowledged only while it is.
#pragma once
#include "controller_context.hpp"
namespace zinccleat::controller {
/// Answers from the raft node; has no state of its own.
class MajorityContact {
 public:
  /// @param context must outlive this.
  explicit MajorityContact(const ControllerContext& context) : context_(context) {}
  /// Whether a majority has been heard within the lease: by the leader itself, by the others through their leader.
  bool inContact() const;
  /// Parks the calling fiber until there is contact. @return false: there was none within `timeout`.
  bool await(Duration timeout) const;

 private:
  const ControllerContext& context_;
};
}  // namespace zinccleat::controller
