#include "state_machine/order_positions.hpp"

#include <algorithm>

namespace zinccleat::state_machine {
namespace {
constexpr std::string_view kOrderPrefix = "order/";
constexpr std::string_view kUnorderedMark = "/any/";
}  // namespace

std::string orderId(std::string_view subject, std::int64_t base) {
  return std::string(kOrderPrefix) + std::string(subject) + "/" + std::to_string(base);
}
std::string unorderedId(std::string_view subject, std::string_view operationId) {
  return std::string(kOrderPrefix) + std::string(subject) + std::string(kUnorderedMark) + std::string(operationId);
}
bool isOrderId(std::string_view operationId) {
  return operationId.starts_with(kOrderPrefix);
}

void OrderPositions::record(const std::string& subject, OrderPosition position) {
  positions_[subject] = position;
  if (positions_.size() <= kCapacity)
    return;
  const auto oldest = std::min_element(positions_.begin(), positions_.end(), [](const auto& one, const auto& other) {
    return one.second.index < other.second.index;
  });
  positions_.erase(oldest);
}
OrderPosition OrderPositions::newest(const std::string& subject) const {
  const auto found = positions_.find(subject);
  return found == positions_.end() ? OrderPosition{} : found->second;
}
}  // namespace zinccleat::state_machine
