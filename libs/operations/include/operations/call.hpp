// Calls of control for operators' tools.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::operations {
struct Called {
  int status = 0;
  std::string body, address;  // the node that answered
};
struct Call {
  std::string method = "GET", path, body;
  std::vector<std::pair<std::string, std::string>> heads;
};
// On a fiber. Follows 307 twice.
Result<Called> callOne(const std::string& first, const Call& c, Duration within);
// Tries the addresses in turn until one gives an answer that is not 5xx.
Result<Called> callAny(const std::vector<std::string>& addresses, const Call& c, Duration within);
std::vector<std::string> splitList(std::string_view s);
// Runs f on a fiber of an event loop of its own until it ends.
int runOnEventLoop(const std::function<int()>& f);
}  // namespace zinccleat::operations
