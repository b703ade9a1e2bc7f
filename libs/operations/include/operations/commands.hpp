/// The command line's subcommands for operators. Each prints to stdout, complains to stderr and returns the process's
/// exit status: 0 as asked, 1 it went otherwise, 2 the command line or a file is wrong.
#pragma once
#include <string>
#include <vector>
namespace zinccleat::operations {
/// `zinccleat check KIND FILE`: parses a file and says whether it is valid.
/// @param kind `settings`, `configuration`, `rollout` or `runbook`
int checkCommand(const std::string& kind, const std::string& file);
/// `zinccleat runbook FILE`: runs a runbook against the controllers that the parameter `core` names.
/// @param assignments the parameters' values as NAME=VALUE
/// @param dryRun prints the steps, calls nothing
int runbookCommand(const std::string& file, const std::vector<std::string>& assignments, bool dryRun);
/// What `zinccleat rollout` is to do.
struct RolloutCommand {
  std::string verb;      ///< `begin`, `status`, `watch` or `revert`
  std::string service;   ///< label
  std::string revision;  ///< `begin`: of the new runners
  std::string seconds;   ///< `begin`: the term
  std::vector<std::string> addresses;
  bool asJson = false;
};
/// `zinccleat rollout VERB SERVICE ...`: orders, shows, follows or takes back the rollout of a service.
/// @return of `watch`: 0 once it is completed, 1 once it is reverted, 2 if no controller answers
int rolloutCommand(const RolloutCommand& command);
/// `zinccleat lock|number|cells|evacuation ...`: one call; prints the answer's body.
/// @param subject `lock`, `number`, `cells`, `tally` or `evacuation`
/// @param arguments the verb, where the subject has verbs, its arguments, and the nodes to ask in turn
/// @return 1 for any answer but 200, 2 for a wrong command line
int coordinationCommand(const std::string& subject, const std::vector<std::string>& arguments);
/// `zinccleat watch GROUP REVISION ADDRESS...`: prints each answer that goes beyond the revision, until it is
/// interrupted. @return 1 if the revision is too old (410), 2 if no controller answers
int watchCommand(const std::vector<std::string>& arguments);
/// `zinccleat shards ADDRESS...`: the shards of the coordination service as each node sees them.
/// @return 1 if none of them answered
int shardsCommand(const std::vector<std::string>& addresses, bool asJson);
/// `zinccleat functions ADDRESS...`: usage reports and orders of runners, as the leader knows them.
/// @return 1 if none of the nodes answered
int functionsCommand(const std::vector<std::string>& addresses, bool asJson);
/// `zinccleat tally add|get|sides ...`: one call on a replicated counter, or what each node knows of the others: whom
/// it reaches, and what either side lacks. @return 1 for any answer but 200, 2 for a wrong command line
int tallyCommand(const std::vector<std::string>& arguments, bool asJson);
/// `zinccleat status ADDRESS...`: prints what controllers report about themselves, as a table or as a JSON list.
/// @return 1 if none of them answered
int statusCommand(const std::vector<std::string>& addresses, bool asJson);
}  // namespace zinccleat::operations
