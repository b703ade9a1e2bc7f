/// Conditions on JSON responses, as used by the `expect` and `await` steps of a runbook. The functions have no side
/// effects.
///
/// The syntax is `[any|all|one] FIELD OPERATOR VALUE`. The quantifier says how many of the responses must meet the
/// condition; the default is `any`. FIELD is a path as defined in json_path.hpp, OPERATOR is one of
/// `== != < <= > >= has`, and VALUE is the rest of the line.
#pragma once
#include "operations/json_path.hpp"
#include "runtime/common.hpp"
namespace zinccleat::operations {
/// How many of the responses must meet a condition.
enum class Quantifier { any, all, one };
/// Comparison of a field with a value. `less` to `greaterOrEqual` compare numbers and are not met if either side is not
/// a number; the others compare text.
enum class Comparison { equal, notEqual, less, lessOrEqual, greater, greaterOrEqual, contains };

/// A condition on the responses to one call.
struct Observation {
  Quantifier quantifier = Quantifier::any;
  std::string field;
  Comparison comparison = Comparison::equal;
  std::string value;
  /// The condition in runbook syntax, without the quantifier.
  std::string text() const;
};
/// Parses a condition.
/// @return the condition, or `ErrorCode::invalidArgument`
Result<Observation> parseObservation(std::string_view text);
/// Whether as many answers meet the condition as its quantifier requires. A missing field meets only `!=`. An empty
/// list of answers meets no condition.
/// @param answers JSON bodies of the responses
bool meets(const Observation& observation, const std::vector<std::string>& answers);
/// The field's values in all answers, separated by commas, for messages to an operator.
std::string observedValues(const Observation& observation, const std::vector<std::string>& answers);
}  // namespace zinccleat::operations
