/// Conditions on JSON answers, as a runbook's `expect` and `await` steps state them. Pure.
///
/// Written as `[any|all|one] FIELD OPERATOR VALUE`: how many of the answers must meet it (any, if left out), a path as
/// in json_path.hpp, one of `== != < <= > >= has`, and the rest of the line.
#pragma once
#include "operations/json_path.hpp"
#include "runtime/common.hpp"
namespace zinccleat::operations {
/// How many of the answers must meet a condition.
enum class Quantifier { any, all, one };
/// How a field is compared with a value: as text, except for the four orderings, which compare numbers.
enum class Comparison { equal, notEqual, less, lessOrEqual, greater, greaterOrEqual, contains };

/// A condition on the answers of one call.
struct Observation {
  Quantifier quantifier = Quantifier::any;
  std::string field;
  Comparison comparison = Comparison::equal;
  std::string value;
  /// The condition as it is written, without the quantifier.
  std::string text() const;
};
/// Parses a condition.
/// @return the condition, or `ErrorCode::invalidArgument`
Result<Observation> parseObservation(std::string_view text);
/// Whether enough of the answers meet the condition. A field that is not there meets only `!=`. No answers meet none.
bool meets(const Observation& observation, const std::vector<std::string>& answers);
/// The field's values in all answers, for a message to an operator.
std::string observedValues(const Observation& observation, const std::vector<std::string>& answers);
}  // namespace zinccleat::operations
