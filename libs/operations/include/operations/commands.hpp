/// The command line's subcommands for operators. Each function prints results to stdout and errors to stderr, and
/// returns the process's exit status: 0 on success, 1 on failure, 2 if the command line or an input file is invalid.
/// Exceptions are stated at the functions.
#pragma once
#include <string>
#include <vector>
namespace zinccleat::operations {
/// `zinccleat check KIND FILE`: parses a file and reports whether it is valid.
/// @param kind `settings`, `configuration`, `rollout` or `runbook`
/// @return 1 if the file cannot be read or is invalid, 2 for an unknown kind
int checkCommand(const std::string& kind, const std::string& file);
/// `zinccleat runbook FILE`: runs a runbook against the controllers listed in the parameter `core`.
/// @param assignments the parameters' values as NAME=VALUE
/// @param dryRun prints the steps without sending any request
/// @return 1 if a step stopped the runbook, 2 if the file or an assignment is invalid
int runbookCommand(const std::string& file, const std::vector<std::string>& assignments, bool dryRun);
/// Arguments of `zinccleat rollout`.
struct RolloutCommand {
  std::string verb;                    ///< `begin`, `status`, `watch` or `revert`
  std::string service;                 ///< the service's label
  std::string revision;                ///< `begin` only: revision of the new runners
  std::string seconds;                 ///< `begin` only: duration of the rollout
  std::vector<std::string> addresses;  ///< "IP:port" of the controllers to call in turn
  bool asJson = false;
};
/// `zinccleat rollout VERB SERVICE ...`: starts, shows, follows or reverts the rollout of a service.
/// @return for `watch`: 0 when the rollout has completed, 1 when it was reverted, 2 if no controller responds
int rolloutCommand(const RolloutCommand& command);
/// `zinccleat lock|number|cells|tally|evacuation ...`: sends one request and prints the body of the response.
/// @param subject `lock`, `number`, `cells`, `tally` or `evacuation`
/// @param arguments the verb, if the subject has verbs, then the verb's arguments, then the nodes to call in turn
/// @return 1 for any status but 200 or no response, 2 for an invalid command line
int coordinationCommand(const std::string& subject, const std::vector<std::string>& arguments);
/// `zinccleat watch GROUP REVISION ADDRESS...`: prints each response with a newer revision than the last one printed,
/// until the process is interrupted.
/// @return 1 if the revision is too old (410) or a controller rejects the request with another 4xx status, 2 if no
///   controller responds
int watchCommand(const std::vector<std::string>& arguments);
/// `zinccleat shards ADDRESS...`: prints the shards of the coordination service as each node sees them.
/// @return 1 if no node responded with status 200
int shardsCommand(const std::vector<std::string>& addresses, bool asJson);
/// `zinccleat functions ADDRESS...`: prints the state of usage reports and of the orders for runners, as the leader
/// knows them.
/// @return 1 if no node responded with status 200
int functionsCommand(const std::vector<std::string>& addresses, bool asJson);
/// `zinccleat tally add|get|sides ...`: `add` and `get` send one request about a replicated counter. `sides` prints for
/// each node which peers it reaches and how many increments the node and each peer have not yet received from the
/// other.
/// @return `add`, `get`: as `coordinationCommand`. `sides`: 1 if no node responded with status 200
int tallyCommand(const std::vector<std::string>& arguments, bool asJson);
/// `zinccleat status ADDRESS...`: prints the status reports of controllers as a table or as a JSON list.
/// @return 1 if no controller responded with status 200
int statusCommand(const std::vector<std::string>& addresses, bool asJson);
}  // namespace zinccleat::operations
