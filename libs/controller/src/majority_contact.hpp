/// @file
/// Tells whether this controller is in contact with a majority of the voters. Calls are acknowledged only during
/// contact.
#pragma once
#include "controller_context.hpp"
namespace zinccleat::controller {
/// Derives the contact state from the Raft node; holds no state of its own.
class MajorityContact {
 public:
  /// @param context must outlive this object.
  explicit MajorityContact(const ControllerContext& context) : context_(context) {}
  /// Whether a majority was heard within the lease duration: directly on the leader, through the leader on followers.
  bool inContact() const;
  /// Suspends the calling fiber until there is contact.
  /// @return false if there was no contact within `timeout`.
  bool await(Duration timeout) const;

 private:
  const ControllerContext& context_;
};
}  // namespace zinccleat::controller
