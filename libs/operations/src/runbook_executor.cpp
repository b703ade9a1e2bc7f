// Runs runbooks. There is one member function for each kind of step.
#include "config/settings.hpp"
#include "operations/runbook.hpp"
#include "text.hpp"

namespace zinccleat::operations {
namespace {
constexpr Duration kRetryInterval{300};
constexpr std::size_t kMaxPrintedBodyBytes = 100;
constexpr std::size_t kMaxPrintedAnswerBytes = 300;
constexpr const char* kIndent = "     ";

class RunbookExecutor {
 public:
  RunbookExecutor(const RunbookEnvironment& environment, bool dryRun) : environment_(environment), dryRun_(dryRun) {}
  // Runs the steps in order. Returns false if a step stopped the runbook.
  bool run(const Runbook& runbook);

 private:
  bool runStep(const Step& step);
  void printHeading(const Step& step);
  void addHeader(const Step& step);
  void pause(const Step& step);
  bool call(const Step& step);
  bool observe(const Step& step);

  // Sends the request `call_`, for the first time or again, and replaces `bodies_` and `statuses_` by the results.
  void repeatCall();
  void record(const Result<CallResponse>& response);
  const std::vector<std::string>& answersFor(const Step& step) const;
  bool waitUntilMet(const Step& step);
  void printIndented(const std::string& text) { environment_.print(kIndent + text); }
  void printStop(const Step& step, const std::string& reason);

  const RunbookEnvironment& environment_;
  bool dryRun_;
  int headingCount_ = 0;
  std::vector<HttpHeader> headers_;    // header fields for the next call
  Call call_;                          // the most recent call
  bool sentToAll_ = false;             // whether `call_` is sent to all controllers instead of any one
  std::vector<std::string> bodies_;    // response bodies of the most recent call; "{}" where there was no response
  std::vector<std::string> statuses_;  // {"status":N} for each element of `bodies_`; N is 0 if there was no response
};

bool RunbookExecutor::run(const Runbook& runbook) {
  environment_.print(runbook.title + (dryRun_ ? " (dry run: nothing is called)" : ""));
  const bool completed =
      std::all_of(runbook.steps.begin(), runbook.steps.end(), [this](const Step& step) { return runStep(step); });
  if (completed)
    environment_.print("done");
  return completed;
}

bool RunbookExecutor::runStep(const Step& step) {
  switch (step.kind) {
    case StepKind::heading:
      printHeading(step);
      return true;
    case StepKind::message:
      printIndented(step.text);
      return true;
    case StepKind::header:
      addHeader(step);
      return true;
    case StepKind::pause:
      pause(step);
      return true;
    case StepKind::get:
    case StepKind::getFromAll:
    case StepKind::post:
      return call(step);
    case StepKind::expect:
    case StepKind::await:
      return observe(step);
  }
  return true;
}

void RunbookExecutor::printHeading(const Step& step) {
  environment_.print(std::to_string(++headingCount_) + ". " + step.text);
}
void RunbookExecutor::addHeader(const Step& step) {
  auto [name, value, hasValue] = splitFirstWord(step.text);
  headers_.push_back({std::move(name), std::move(value)});
}
void RunbookExecutor::pause(const Step& step) {
  if (!dryRun_)
    environment_.sleepFor(step.timeout);
}

bool RunbookExecutor::call(const Step& step) {
  call_ = Call{step.kind == StepKind::post ? "POST" : "GET", step.path, step.body, std::move(headers_)};
  headers_.clear();
  sentToAll_ = step.kind == StepKind::getFromAll;
  printIndented(call_.method + " " + call_.path +
                (call_.body.empty() ? "" : " " + call_.body.substr(0, kMaxPrintedBodyBytes)));
  if (dryRun_)
    return true;
  if (call_.body.starts_with('@')) {
    auto content = config::readFile(call_.body.substr(1));
    if (!content) {
      printStop(step, content.error().message);
      return false;
    }
    call_.body = std::move(*content);
  }
  repeatCall();
  return true;
}

void RunbookExecutor::repeatCall() {
  bodies_.clear();
  statuses_.clear();
  if (!sentToAll_)
    return record(environment_.callAny(call_));
  for (const auto& response : environment_.callAll(call_))
    record(response);
}
void RunbookExecutor::record(const Result<CallResponse>& response) {
  bodies_.push_back(response ? response->body : "{}");
  statuses_.push_back("{\"status\":" + std::to_string(response ? response->status : 0) + "}");
  if (!response)
    printIndented(response.error().message);
}

bool RunbookExecutor::observe(const Step& step) {
  const auto condition = step.observation.text();
  if (dryRun_) {
    printIndented("would look for: " + condition);
    return true;
  }
  if (waitUntilMet(step)) {
    printIndented("seen: " + condition);
    return true;
  }
  printStop(step, "wanted " + condition + ", saw " + observedValues(step.observation, answersFor(step)));
  for (const auto& body : bodies_)
    printIndented("answer: " + body.substr(0, kMaxPrintedAnswerBytes));
  return false;
}
const std::vector<std::string>& RunbookExecutor::answersFor(const Step& step) const {
  return step.observesStatus ? statuses_ : bodies_;
}
bool RunbookExecutor::waitUntilMet(const Step& step) {
  const auto deadline = environment_.now() + step.timeout;
  const auto& answers = answersFor(step);
  while (!meets(step.observation, answers)) {
    if (step.kind != StepKind::await || environment_.now() >= deadline)
      return false;
    environment_.sleepFor(kRetryInterval);
    repeatCall();
  }
  return true;
}
void RunbookExecutor::printStop(const Step& step, const std::string& reason) {
  environment_.print("stopped at line " + std::to_string(step.line) + ": " + reason);
}
}  // namespace

int runRunbook(const Runbook& runbook, const RunbookEnvironment& environment, bool dryRun) {
  return RunbookExecutor(environment, dryRun).run(runbook) ? 0 : 1;
}
}  // namespace zinccleat::operations
