#include <cstdio>

#include "config/quote_json.hpp"
#include "fiber_run.hpp"
#include "operations/call.hpp"
#include "operations/commands.hpp"
#include "operations/json_path.hpp"

namespace zinccleat::operations {
namespace {
constexpr int kOk = 200;

struct NodeStatus {
  std::string address;
  std::string json;     // the node's status report; empty if none was received
  std::string problem;  // error message if no status report was received; otherwise empty
};

NodeStatus fetchStatus(const std::string& address) {
  const Call call{"GET", "/v1/Status", "", {}};
  const auto response = callOne(address, call, kCallTimeout);
  if (!response)
    return {address, "", response.error().message};
  if (response->status != kOk)
    return {address, "", "status " + std::to_string(response->status)};
  return {address, response->body, ""};
}

void printHeader() {
  std::printf("%-22s %-10s %5s %8s %8s %7s %-7s %7s  %s\n", "node", "role", "term", "released", "applied", "leased",
              "disk", "runners", "members");
}
void printRow(const NodeStatus& node) {
  if (!node.problem.empty()) {
    std::printf("%-22s %s\n", node.address.c_str(), node.problem.c_str());
    return;
  }
  const auto field = [&](std::string_view path) { return fieldOf(node.json, path).value_or("?"); };
  std::printf("%-22s %-10s %5s %8s %8s %7s %-7s %7s  %s\n", field("node").c_str(), field("role").c_str(),
              field("term").c_str(), field("released").c_str(), field("applied").c_str(), field("leased").c_str(),
              field("diskSick") == "true" ? "sick" : "fine", field("runners#").c_str(), field("members").c_str());
}
std::string toJson(const NodeStatus& node) {
  if (node.problem.empty())
    return node.json;
  return "{\"node\":" + config::quoteJson(node.address) + ",\"error\":" + config::quoteJson(node.problem) + "}";
}

// Requests the nodes' reports in turn and prints each row as soon as its node has responded or failed. Returns the
// number of reports received.
std::size_t printTable(const std::vector<std::string>& addresses) {
  std::size_t answered = 0;
  printHeader();
  for (const auto& address : addresses) {
    const auto node = fetchStatus(address);
    printRow(node);
    if (node.problem.empty())
      ++answered;
  }
  return answered;
}
// Prints one JSON list after all nodes were queried. Returns the number of reports received.
std::size_t printJson(const std::vector<std::string>& addresses) {
  std::size_t answered = 0;
  std::string list;
  for (const auto& address : addresses) {
    const auto node = fetchStatus(address);
    list += (list.empty() ? "" : ",") + toJson(node);
    if (node.problem.empty())
      ++answered;
  }
  std::printf("[%s]\n", list.c_str());
  return answered;
}
}  // namespace

int statusCommand(const std::vector<std::string>& addresses, bool asJson) {
  if (addresses.empty()) {
    std::fprintf(stderr, "zinccleat status: say which nodes: ADDRESS:PORT...\n");
    return 2;
  }
  return runOnEventLoop([&] {
    const auto answered = asJson ? printJson(addresses) : printTable(addresses);
    return answered == 0 ? 1 : 0;
  });
}
}  // namespace zinccleat::operations
