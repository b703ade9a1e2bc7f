// Parses runbooks. `kStepForms` maps each keyword to the function that parses the step's text.
#include <array>
#include <charconv>
#include <sstream>

#include "operations/runbook.hpp"
#include "text.hpp"

namespace zinccleat::operations {
namespace {
tl::unexpected<Error> errorAt(int line, const std::string& problem) {
  return makeError(ErrorCode::invalidArgument, "line " + std::to_string(line) + ": " + problem);
}

// The integer at the beginning of a text, with an optional sign; 0 if there is none.
int leadingInteger(std::string_view text) {
  int value = 0;
  if (text.starts_with('+'))
    text.remove_prefix(1);
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}
Duration parseSeconds(std::string_view text) {
  return std::chrono::seconds(leadingInteger(text));
}

// Parameter names consist of lower-case letters and hyphens only, so that braces in JSON bodies are not taken for
// parameters.
bool isParameterName(std::string_view name) {
  return !name.empty() && name.find_first_not_of("abcdefghijklmnopqrstuvwxyz-") == std::string_view::npos;
}
// The parameter name in braces that begins at `position`; empty if there is none.
std::string parameterAt(const std::string& text, std::size_t position) {
  if (text[position] != '{')
    return {};
  const auto end = text.find('}', position);
  if (end == std::string::npos)
    return {};
  auto name = text.substr(position + 1, end - position - 1);
  return isParameterName(name) ? name : std::string();
}
// Replaces each {name} by its value. Returns an error with the line number for a parameter without a value.
Result<std::string> substitute(const std::string& text, const ParameterValues& values, int line) {
  std::string substituted;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const auto name = parameterAt(text, i);
    if (name.empty()) {
      substituted += text[i];
      continue;
    }
    const auto value = values.find(name);
    if (value == values.end())
      return errorAt(line, "no value for '" + name + "': use --set " + name + "=...");
    substituted += value->second;
    i += name.size() + 1;
  }
  return substituted;
}

Result<Step> parseText(Step step, const std::string& text) {
  step.text = text;
  return step;
}
Result<Step> parseCall(Step step, const std::string& text) {
  auto [path, body, hasBody] = splitFirstWord(text);
  if (!path.starts_with('/'))
    return errorAt(step.line, "a call needs a path that begins with '/'");
  step.path = std::move(path);
  step.body = std::move(body);
  return step;
}
Result<Step> parsePause(Step step, const std::string& text) {
  step.timeout = parseSeconds(text);
  return step;
}
Result<Step> parseExpect(Step step, const std::string& text) {
  auto observation = parseObservation(text);
  if (!observation)
    return errorAt(step.line, observation.error().message);
  step.observation = std::move(*observation);
  step.observesStatus = step.observation.field == "status";
  return step;
}
Result<Step> parseAwait(Step step, const std::string& text) {
  const auto [seconds, observation, hasObservation] = splitFirstWord(text);
  step.timeout = parseSeconds(seconds);
  if (step.timeout <= Duration(0) || !hasObservation)
    return errorAt(step.line, "await needs a positive number of seconds and an observation");
  return parseExpect(std::move(step), observation);
}

struct StepForm {
  std::string_view keyword;
  StepKind kind;
  Result<Step> (*parse)(Step step, const std::string& text);
};
constexpr std::array<StepForm, 9> kStepForms{{{"step", StepKind::heading, parseText},
                                              {"tell", StepKind::message, parseText},
                                              {"head", StepKind::header, parseText},
                                              {"get", StepKind::get, parseCall},
                                              {"getall", StepKind::getFromAll, parseCall},
                                              {"post", StepKind::post, parseCall},
                                              {"expect", StepKind::expect, parseExpect},
                                              {"await", StepKind::await, parseAwait},
                                              {"pause", StepKind::pause, parsePause}}};

bool isCall(StepKind kind) {
  return kind == StepKind::get || kind == StepKind::getFromAll || kind == StepKind::post;
}
bool isObservation(StepKind kind) {
  return kind == StepKind::expect || kind == StepKind::await;
}

class RunbookParser {
 public:
  explicit RunbookParser(ParameterValues values) : values_(std::move(values)) {}
  Result<Runbook> parse(const std::string& text);

 private:
  Result<void> parseLine(const std::string& text);
  void parseParameter(const std::string& text);
  Result<Step> parseStep(const std::string& keyword, const std::string& text);

  ParameterValues values_;
  Runbook runbook_;
  int line_ = 0;
  bool hasCall_ = false;  // whether a call precedes the current line, so that an observation is allowed
};

Result<Runbook> RunbookParser::parse(const std::string& text) {
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    ++line_;
    line = trim(line);
    if (line.empty() || line.starts_with('#'))
      continue;
    if (const auto parsed = parseLine(line); !parsed)
      return tl::unexpected(parsed.error());
  }
  if (runbook_.steps.empty())
    return makeError(ErrorCode::invalidArgument, "no step in it");
  return std::move(runbook_);
}

Result<void> RunbookParser::parseLine(const std::string& text) {
  const auto [keyword, rest, hasRest] = splitFirstWord(text);
  if (keyword == "title") {
    runbook_.title = rest;
    return {};
  }
  if (keyword == "param") {
    parseParameter(rest);
    return {};
  }
  auto step = parseStep(keyword, rest);
  if (!step)
    return tl::unexpected(step.error());
  hasCall_ = hasCall_ || isCall(step->kind);
  runbook_.steps.push_back(std::move(*step));
  return {};
}

void RunbookParser::parseParameter(const std::string& text) {
  auto [name, description, hasDescription] = splitFirstWord(text);
  if (const auto equals = name.find('='); equals != std::string::npos) {
    values_.try_emplace(name.substr(0, equals), name.substr(equals + 1));
    name.erase(equals);
  }
  runbook_.parameters.push_back({std::move(name), std::move(description)});
}

Result<Step> RunbookParser::parseStep(const std::string& keyword, const std::string& text) {
  const auto substituted = substitute(text, values_, line_);
  if (!substituted)
    return tl::unexpected(substituted.error());
  const auto form = std::find_if(kStepForms.begin(), kStepForms.end(),
                                 [&](const StepForm& candidate) { return candidate.keyword == keyword; });
  if (form == kStepForms.end())
    return errorAt(line_, "unknown keyword '" + keyword + "'");
  if (isObservation(form->kind) && !hasCall_)
    return errorAt(line_, "an observation needs a preceding call");
  Step step;
  step.kind = form->kind;
  step.line = line_;
  return form->parse(std::move(step), *substituted);
}
}  // namespace

Result<Runbook> parseRunbook(const std::string& text, const ParameterValues& values) {
  return RunbookParser(values).parse(text);
}

ParameterValues sampleValues(const std::string& text) {
  ParameterValues values;
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    std::istringstream words(line);
    std::string keyword;
    std::string name;
    if (words >> keyword >> name && keyword == "param" && name.find('=') == std::string::npos)
      values[name] = "sample";
  }
  return values;
}
}  // namespace zinccleat::operations
