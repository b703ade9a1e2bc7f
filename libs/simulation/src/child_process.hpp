/// Child processes that are killed when their parent ends. Linux only.
#pragma once
#include <sys/types.h>

#include <string>
#include <vector>

namespace zinccleat::simulation {
/// Conditions under which a child executes its program.
struct ChildOptions {
  int maxDescriptors = 0;      ///< limit of open descriptors (RLIMIT_NOFILE), 0: that of the caller
  bool blocksSignals = false;  ///< whether SIGTERM, SIGINT, SIGHUP and SIGUSR1 are blocked at the start of the program
};
/// Starts a program. The kernel sends SIGKILL to the child when the calling thread ends for any reason
/// (PR_SET_PDEATHSIG). The child inherits only standard input and, as descriptor 3, a copy of `inherited`.
/// @param arguments the program's path and its arguments.
/// @param logPath file to which the child's standard output and error are appended; it is created if missing.
/// @param inherited open descriptor of the caller.
/// @return the child's process id, or -1 with `errno` if it cannot be started.
pid_t startChild(const std::vector<std::string>& arguments, const std::string& logPath, int inherited,
                 const ChildOptions& options = {});
}  // namespace zinccleat::simulation
