/// Checks whether a history of operators' calls is linearizable: whether there is one sequential order of the calls on
/// a single configuration that yields the recorded results, and in which each call takes effect at one moment between
/// its invocation and its response. A call whose response was lost may take effect at any moment after its invocation,
/// or never. The algorithm is the search by Wing and Gong with Lowe's cache of visited states.
#pragma once
#include <limits>

#include "runtime/common.hpp"

namespace zinccleat::simulation {
/// One call of one operator. All times in a history must come from the same clock; only their order matters.
struct OperatorCall {
  enum class Kind {
    replace,   ///< Configuration.Replace
    retrieve,  ///< Configuration.Retrieve
  };
  enum class Answer {
    acknowledged,   ///< Replace: 200
    otherVersion,   ///< Replace: 412
    invalid,        ///< Replace: 400
    configuration,  ///< Retrieve: 200
    unknown,        ///< no response was received, or its status leaves the outcome open
  };
  static constexpr std::int64_t kNever = std::numeric_limits<std::int64_t>::max();

  Kind kind = Kind::replace;
  std::string caller;           ///< the operator's name, used only in explanations
  std::int64_t began = 0;       ///< time of the invocation
  std::int64_t ended = kNever;  ///< time of the response; kNever if the outcome is unknown
  std::int64_t base = 0;        ///< Replace: the version that the change is based on
  /// Replace: the version sent. Retrieve: the version read, 0 if there is no configuration yet.
  std::int64_t version = 0;
  std::string body;  ///< the configuration that was sent or read
  Answer answer = Answer::unknown;
};
struct LinearizabilityResult {
  bool linearizable = false;
  std::size_t statesVisited = 0;  ///< distinct states that the search reached
  /// Empty if the history is linearizable. Otherwise lists calls that no order permits, or states that the search was
  /// aborted.
  std::string explanation;
};
/// Checks a history against the specification of the control API: a Replace that was accepted before is acknowledged
/// again; a Replace whose base is the current version and whose version is higher is accepted; any other Replace is
/// rejected with 412, or with 400 if its version is not above the current version or not above its base. A search that
/// visits too many states is aborted and reported as not linearizable.
LinearizabilityResult checkLinearizable(std::vector<OperatorCall> history);

/// Records calls while they are made. `at` is the time of the event on the clock of `OperatorCall`.
class OperatorRecorder {
 public:
  /// Records the invocation of a Replace.
  /// @return the call's index, to be passed to `replaceAnswered`.
  std::size_t replaceSent(const std::string& caller, std::int64_t at, std::int64_t base, std::int64_t version,
                          const std::string& body);
  /// Records the invocation of a Retrieve.
  /// @return the call's index, to be passed to `retrieveAnswered`.
  std::size_t retrieveSent(const std::string& caller, std::int64_t at);
  /// Records the response to a Replace.
  /// @param status 200, 400 and 412 determine the call's outcome; any other status leaves it unknown.
  void replaceAnswered(std::size_t call, std::int64_t at, int status);
  /// Records a response to a Retrieve with status 200.
  void retrieveAnswered(std::size_t call, std::int64_t at, std::int64_t version, const std::string& body);
  const std::vector<OperatorCall>& calls() const { return calls_; }

 private:
  std::vector<OperatorCall> calls_;
};
}  // namespace zinccleat::simulation
