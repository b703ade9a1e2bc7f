/// The ends of a daemon process. Each end leaves its reason as the last line of the log: the exit status of an orderly
/// end or of a failed start, the exception that nobody caught, or the signal of a crash.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::runtime {
/// The exit status of a daemon. A process that ends in a crash has the status of its signal instead.
enum class ExitStatus : int {
  success = 0,          ///< the process was asked to end
  startFailed = 1,      ///< an address, the data folder or the disk cannot be used
  invalidSettings = 2,  ///< the command line or the settings file is invalid
};
/// Makes a crash leave its reason: an exception that nobody catches, and the signals SIGSEGV, SIGBUS, SIGFPE, SIGILL
/// and SIGABRT. The process then ends by the signal as it would have without this call. Ignores SIGPIPE, because a log
/// that nobody reads must not end the process.
/// @param process "NODE/PROGRAM", for the log line of a signal.
void reportCrashes(std::string_view process);
/// Logs the end of the process and ends it without destroying any object. Destructors could block: the fiber library
/// waits for fibers that are suspended on connections, and the disk thread waits for operations in progress.
/// @param reason why the process ends.
[[noreturn]] void endProcess(ExitStatus status, std::string_view reason);
/// Ends the process like `endProcess`, without a line in the log.
[[noreturn]] void exitWithoutCleanup(int status);
}  // namespace zinccleat::runtime
