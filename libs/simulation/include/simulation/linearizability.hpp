// Whether the operators' calls, as they were answered, can be explained by one configuration that all of them changed
// and read in some one order, each call at one moment between its sending and its answer (linearizability). The search
// is that of Wing and Gong with the memory of visited states of Lowe; calls whose answer was lost may have taken effect
// at any later moment, or never.
#pragma once
#include <limits>

#include "runtime/common.hpp"

namespace zinccleat::simulation {
// One call of one operator. Times are on any one clock; only their order counts.
struct OperatorCall {
  enum class Kind { replace, retrieve };
  enum class Answer { acknowledged, otherVersion, invalid, configuration, unknown };
  static constexpr std::int64_t kNever = std::numeric_limits<std::int64_t>::max();

  Kind kind = Kind::replace;
  std::string caller;  // for the report only
  std::int64_t began = 0, ended = kNever;
  // Replace: what was sent, on top of `base`. Retrieve: what was read; version 0: there was none yet.
  std::int64_t base = 0, version = 0;
  std::string body;
  Answer answer = Answer::unknown;
};
struct LinearizabilityResult {
  bool linearizable = false;
  std::size_t statesVisited = 0;
  std::string explanation;  // if not: what cannot be explained
};
// What the pages grant: an order that was taken is acknowledged again; one on top of the current version with a higher
// number is taken; any other is refused with 412, or with 400 if its number is not above the current or its base.
LinearizabilityResult checkLinearizable(std::vector<OperatorCall> history);

// Gathers the calls as they are made.
class OperatorRecorder {
 public:
  std::size_t replaceSent(const std::string& caller, std::int64_t at, std::int64_t base, std::int64_t version,
                          const std::string& body);
  std::size_t retrieveSent(const std::string& caller, std::int64_t at);
  // 200, 400 and 412 are clear answers; any other leaves the call unknown.
  void replaceAnswered(std::size_t call, std::int64_t at, int status);
  void retrieveAnswered(std::size_t call, std::int64_t at, std::int64_t version, const std::string& body);
  const std::vector<OperatorCall>& calls() const { return calls_; }

 private:
  std::vector<OperatorCall> calls_;
};
}  // namespace zinccleat::simulation
