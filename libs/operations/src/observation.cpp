#include "operations/observation.hpp"

#include <array>
#include <cstdlib>
#include <sstream>

namespace zinccleat::operations {
namespace {
template <class Value>
struct Keyword {
  std::string_view text;
  Value value;
};
constexpr std::array<Keyword<Quantifier>, 3> kQuantifiers{
    {{"any", Quantifier::any}, {"all", Quantifier::all}, {"one", Quantifier::one}}};
constexpr std::array<Keyword<Comparison>, 7> kComparisons{{{"==", Comparison::equal},
                                                           {"!=", Comparison::notEqual},
                                                           {"<", Comparison::less},
                                                           {"<=", Comparison::lessOrEqual},
                                                           {">", Comparison::greater},
                                                           {">=", Comparison::greaterOrEqual},
                                                           {"has", Comparison::contains}}};

template <class Keywords>
auto findKeyword(const Keywords& keywords, std::string_view text) {
  return std::find_if(keywords.begin(), keywords.end(), [&](const auto& keyword) { return keyword.text == text; });
}

std::optional<double> toNumber(const std::string& text) {
  char* end = nullptr;
  const double number = std::strtod(text.c_str(), &end);
  if (text.empty() || *end != '\0')
    return std::nullopt;
  return number;
}
bool compareNumbers(Comparison comparison, const std::string& left, const std::string& right) {
  const auto leftNumber = toNumber(left);
  const auto rightNumber = toNumber(right);
  if (!leftNumber || !rightNumber)
    return false;
  switch (comparison) {
    case Comparison::less:
      return *leftNumber < *rightNumber;
    case Comparison::lessOrEqual:
      return *leftNumber <= *rightNumber;
    case Comparison::greater:
      return *leftNumber > *rightNumber;
    default:
      return *leftNumber >= *rightNumber;
  }
}
bool answerMeets(const Observation& observation, const std::string& answer) {
  const auto found = fieldOf(answer, observation.field);
  if (!found)
    return observation.comparison == Comparison::notEqual;
  switch (observation.comparison) {
    case Comparison::equal:
      return *found == observation.value;
    case Comparison::notEqual:
      return *found != observation.value;
    case Comparison::contains:
      return found->find(observation.value) != std::string::npos;
    default:
      return compareNumbers(observation.comparison, *found, observation.value);
  }
}
}  // namespace

std::string Observation::text() const {
  const auto keyword = std::find_if(kComparisons.begin(), kComparisons.end(),
                                    [&](const auto& candidate) { return candidate.value == comparison; });
  return field + " " + std::string(keyword->text) + " " + value;
}

Result<Observation> parseObservation(std::string_view text) {
  std::istringstream words{std::string(text)};
  Observation observation;
  words >> observation.field;
  const auto quantifier = findKeyword(kQuantifiers, observation.field);
  if (quantifier != kQuantifiers.end()) {
    observation.quantifier = quantifier->value;
    observation.field.clear();
    words >> observation.field;
  }
  std::string operation;
  words >> operation;
  std::getline(words >> std::ws, observation.value);
  const auto comparison = findKeyword(kComparisons, operation);
  if (comparison == kComparisons.end() || observation.field.empty() || observation.value.empty())
    return makeError(ErrorCode::invalidArgument, "invalid observation: '" + std::string(text) + "'");
  observation.comparison = comparison->value;
  return observation;
}

bool meets(const Observation& observation, const std::vector<std::string>& answers) {
  const auto count = static_cast<std::size_t>(std::count_if(
      answers.begin(), answers.end(), [&](const std::string& answer) { return answerMeets(observation, answer); }));
  switch (observation.quantifier) {
    case Quantifier::any:
      return count > 0;
    case Quantifier::one:
      return count == 1;
    case Quantifier::all:
      break;
  }
  return count == answers.size() && count > 0;
}

std::string observedValues(const Observation& observation, const std::vector<std::string>& answers) {
  std::string values;
  for (const auto& answer : answers)
    values += (values.empty() ? "" : ", ") + fieldOf(answer, observation.field).value_or("nothing");
  return values.empty() ? "no answer" : values;
}
}  // namespace zinccleat::operations
