/// Checks whether the operators' calls, as they were answered, are linearizable: whether they can be explained by one
/// configuration that all operators changed and read in some one order, each call taking effect at one moment between
/// its sending and its answer. The search is that of Wing and Gong with the memory of visited states of Lowe. A call
/// whose answer was lost may have taken effect at any later moment, or never.
#pragma once
#include <limits>

#include "runtime/common.hpp"

namespace zinccleat::simulation {
/// One call of one operator. Times are of any one clock; only their order counts.
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
    unknown,        ///< lost, or not clear
  };
  static constexpr std::int64_t kNever = std::numeric_limits<std::int64_t>::max();

  Kind kind = Kind::replace;
  std::string caller;  ///< for the explanation only
  std::int64_t began = 0;
  std::int64_t ended = kNever;
  std::int64_t base = 0;     ///< Replace: the version that the change was made on
  std::int64_t version = 0;  ///< Replace: that was sent; Retrieve: that was read, 0 for none yet
  std::string body;          ///< the configuration that was sent or read
  Answer answer = Answer::unknown;
};
struct LinearizabilityResult {
  bool linearizable = false;
  std::size_t statesVisited = 0;
  std::string explanation;  ///< if it is not linearizable: the calls that nothing explains
};
/// Checks a history against what the control interface promises: a Replace that was accepted is acknowledged again; one
/// on top of the current version with a higher number is accepted; any other is refused with 412, or with 400 if its
/// number is not above the current one or its base. A search that visits too many states gives up, which counts as not
/// linearizable.
LinearizabilityResult checkLinearizable(std::vector<OperatorCall> history);

/// Records the calls as they are made. Times are those of `OperatorCall`.
class OperatorRecorder {
 public:
  /// @return the call's index, for `replaceAnswered`.
  std::size_t replaceSent(const std::string& caller, std::int64_t at, std::int64_t base, std::int64_t version,
                          const std::string& body);
  /// @return the call's index, for `retrieveAnswered`.
  std::size_t retrieveSent(const std::string& caller, std::int64_t at);
  /// @param status 200, 400 and 412 are clear answers; any other leaves the call's outcome unknown.
  void replaceAnswered(std::size_t call, std::int64_t at, int status);
  void retrieveAnswered(std::size_t call, std::int64_t at, std::int64_t version, const std::string& body);
  const std::vector<OperatorCall>& calls() const { return calls_; }

 private:
  std::vector<OperatorCall> calls_;
};
}  // namespace zinccleat::simulation
