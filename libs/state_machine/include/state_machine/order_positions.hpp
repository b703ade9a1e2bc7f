/// @file
/// The newest order of an operator on each subject (a zone's evacuation, a zone's drain, a service's rollout), by its
/// position in the log. An order carries no version of its own, so a copy of it that is applied late could undo a newer
/// one. Therefore the operation id of an order's entry names the position of the order that it follows: of all entries
/// that follow the same order only the first is applied, and a late copy has an id that is already used.
///
/// Versions of this program without these positions apply the same entries in the same way, because they deduplicate
/// operation ids too. Their own orders have other ids: they move a position that is known, but do not create one, so
/// that the state and its snapshots stay the same as theirs.
#pragma once
#include <map>

#include "runtime/common.hpp"

namespace zinccleat::state_machine {
/// The operation id of an order that follows the order at `base`.
/// @param base log index of the newest order on the subject; 0: none is known.
std::string orderId(std::string_view subject, std::int64_t base);
/// The operation id of an order whose `orderId` was used although no order on the subject is known, as after a snapshot
/// of a version that has no positions. The order is applied in any case.
/// @param operationId an operation id that no other entry has.
std::string unorderedId(std::string_view subject, std::string_view operationId);
/// Whether an operation id was built by `orderId` or `unorderedId`.
bool isOrderId(std::string_view operationId);

/// An order that was applied.
struct OrderPosition {
  std::int64_t index = 0;    ///< log index of its entry
  std::int64_t content = 0;  ///< hash of what was ordered; tells equal orders from different ones
};

/// Bounded table of the newest orders, by subject. When it is full, the oldest position is dropped for a new subject.
class OrderPositions {
 public:
  /// Maximum number of subjects: twice the zones and regions, and the services with rollouts.
  static constexpr std::size_t kCapacity = 1024;

  /// Records an applied order. Its index must be above all recorded ones.
  void record(const std::string& subject, OrderPosition position);
  /// The newest order on a subject; index 0 if none is known.
  OrderPosition newest(const std::string& subject) const;
  bool contains(const std::string& subject) const { return positions_.contains(subject); }
  const std::map<std::string, OrderPosition>& all() const { return positions_; }

 private:
  std::map<std::string, OrderPosition> positions_;
};
}  // namespace zinccleat::state_machine
