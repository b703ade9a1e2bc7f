/// Executable runbooks: text files of steps, HTTP calls to controllers, and conditions on the responses.
///
/// Each line holds one step: a keyword, a space, and the step's text. Empty lines are skipped. Lines that begin with
/// '#' are comments. Keywords:
///   title TEXT               the runbook's title
///   param NAME[=DEFAULT] TEXT  a parameter and its description; `{NAME}` in a step is replaced by its value
///   step TEXT                the heading of a numbered section
///   tell TEXT                prints a line for the operator
///   head NAME VALUE          a header field for the next call
///   get PATH                 GET from any controller
///   getall PATH              GET from all controllers
///   post PATH [BODY]         POST to any controller; a body `@FILE` means the content of that file
///   expect OBSERVATION       stops the runbook unless the last call's responses meet the condition (observation.hpp)
///   await SECONDS OBSERVATION  as `expect`, but repeats the call until the condition is met or the time has passed
///   pause SECONDS            waits
/// An observation whose field is `status` tests the HTTP status instead of the response's body.
#pragma once
#include "operations/call.hpp"
#include "operations/observation.hpp"
namespace zinccleat::operations {
/// Kinds of steps, one for each keyword listed at the top of this file except `title` and `param`.
enum class StepKind { heading, message, header, get, getFromAll, post, expect, await, pause };

/// One step. Each comment names the kinds that use the field; for other kinds the field keeps its default.
struct Step {
  StepKind kind = StepKind::heading;
  int line = 0;                 ///< line number in the runbook's file, from 1
  std::string text;             ///< heading, message: the text; header: NAME VALUE
  std::string path;             ///< get, getFromAll, post
  std::string body;             ///< get, getFromAll, post; `@FILE` means the content of that file
  Observation observation;      ///< expect, await
  bool observesStatus = false;  ///< expect, await: tests the HTTP status instead of the body
  Duration timeout{0};          ///< await: time limit; pause: time to wait
};
/// A parameter that a runbook declares.
struct Parameter {
  std::string name;
  std::string description;
};
/// Parameter values by name.
using ParameterValues = std::map<std::string, std::string>;

/// A parsed runbook. Parameters in its steps have been replaced by their values.
struct Runbook {
  std::string title;
  std::vector<Parameter> parameters;
  std::vector<Step> steps;  ///< has at least one element
};
/// Parses a runbook.
/// @param values the parameters' values; a parameter with a default may be omitted
/// @return the runbook, or `ErrorCode::invalidArgument` with the line number, for example for an unknown keyword, a
///   parameter without a value, or an observation before any call
Result<Runbook> parseRunbook(const std::string& text, const ParameterValues& values);
/// Placeholder values for the parameters without a default, used to check a runbook without running it.
ParameterValues sampleValues(const std::string& text);

/// External dependencies of running a runbook; tests pass fakes.
struct RunbookEnvironment {
  std::function<Result<CallResponse>(const Call&)> callAny;               ///< sends to any one controller
  std::function<std::vector<Result<CallResponse>>(const Call&)> callAll;  ///< sends to every controller
  std::function<void(Duration)> sleepFor;
  std::function<void(const std::string&)> print;  ///< prints one line, given without a line break
  std::function<TimePoint()> now;
};
/// Runs the steps in order and prints each one.
/// @param dryRun prints the steps without sending any request
/// @return 0 if all observations were met; 1 if an observation was not met or the file of a body could not be read. The
///   steps after the failed one are not run.
int runRunbook(const Runbook& runbook, const RunbookEnvironment& environment, bool dryRun);
}  // namespace zinccleat::operations
