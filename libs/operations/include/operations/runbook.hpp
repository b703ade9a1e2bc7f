/// Runbooks that a program executes: a plain file of steps, calls and what must be observed after them.
///
/// One step a line: a keyword, a space, and its text. Lines that begin with '#' are comments. Keywords:
///   title TEXT               the runbook's title
///   param NAME[=DEFAULT] TEXT  a parameter and what it is for; `{NAME}` in a step stands for its value
///   step TEXT                begins a numbered step
///   tell TEXT                shows a line to the operator
///   head NAME VALUE          a header field for the next call
///   get PATH                 GET from any controller
///   getall PATH              GET from all controllers
///   post PATH [BODY]         POST to any controller; a body `@FILE` is read from that file
///   expect OBSERVATION       the last call's answers meet this (observation.hpp), or the runbook stops
///   await SECONDS OBSERVATION  the same, repeating the call until it is met or the time is over
///   pause SECONDS            waits
/// An observation of the field `status` is about the HTTP status instead of the answer's body.
#pragma once
#include "operations/call.hpp"
#include "operations/observation.hpp"
namespace zinccleat::operations {
/// What a step does; see the list of keywords above.
enum class StepKind { heading, message, header, get, getFromAll, post, expect, await, pause };

/// One step. Only the fields that its kind uses are set.
struct Step {
  StepKind kind = StepKind::heading;
  int line = 0;                 ///< in the runbook's file, from 1
  std::string text;             ///< heading, message; header: NAME VALUE
  std::string path;             ///< calls
  std::string body;             ///< calls; `@FILE` is read from that file
  Observation observation;      ///< expect, await
  bool observesStatus = false;  ///< expect, await: about the HTTP status
  Duration timeout{0};          ///< await: how long at most; pause: how long
};
/// A parameter that a runbook declares.
struct Parameter {
  std::string name;
  std::string description;
};
/// Values of parameters by their names.
using ParameterValues = std::map<std::string, std::string>;

/// A parsed runbook, with the parameters' values filled in.
struct Runbook {
  std::string title;
  std::vector<Parameter> parameters;
  std::vector<Step> steps;  ///< never empty
};
/// Parses a runbook.
/// @param values the parameters' values; a parameter with a default may be left out
/// @return the runbook, or `ErrorCode::invalidArgument` with the line: an unknown keyword, a parameter without a value,
///   an observation before any call
Result<Runbook> parseRunbook(const std::string& text, const ParameterValues& values);
/// A stand-in value for each parameter that has no default, to check a runbook without running it.
ParameterValues sampleValues(const std::string& text);

/// What running a runbook needs from outside; tests pass stand-ins.
struct RunbookEnvironment {
  std::function<Result<CallResponse>(const Call&)> callAny;               ///< to any controller
  std::function<std::vector<Result<CallResponse>>(const Call&)> callAll;  ///< to each controller
  std::function<void(Duration)> sleepFor;
  std::function<void(const std::string&)> print;  ///< one line, without its end
  std::function<TimePoint()> now;
};
/// Runs the steps in order and prints what it does.
/// @param dryRun prints the steps, calls nothing
/// @return 0 if all observations were met; 1 if one was not or a body's file cannot be read: the rest was not done
int runRunbook(const Runbook& runbook, const RunbookEnvironment& environment, bool dryRun);
}  // namespace zinccleat::operations
