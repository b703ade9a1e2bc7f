#include "child_process.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>

namespace zinccleat::simulation {
namespace {
constexpr int kInheritedDescriptor = 3;
constexpr int kFirstClosedDescriptor = kInheritedDescriptor + 1;
constexpr int kLogMode = 0644;
constexpr int kExitCannotStart = 127;  // as of a shell

// What the child needs between fork() and exec(), where nothing may be allocated.
struct Launch {
  char* const* arguments;
  const char* logPath;
  int inherited;
  int errorPipe;  // closed by exec(); carries errno if something fails before
  pid_t parent;
};
// Checks the parent too: one that ended before prctl() was called sends no signal.
bool killOnParentExit(pid_t parent) {
  return ::prctl(PR_SET_PDEATHSIG, SIGKILL) == 0 && ::getppid() == parent;
}
bool redirectOutputToLog(const Launch& launch) {
  const int log = ::open(launch.logPath, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kLogMode);
  return log >= 0 && ::dup2(log, STDOUT_FILENO) >= 0 && ::dup2(log, STDERR_FILENO) >= 0;
}
// The rest is closed: a child that kept our sockets open would keep connections alive that we have closed.
bool closeAllButInherited(const Launch& launch) {
  // dup2() of a descriptor onto itself would leave close-on-exec as it is.
  if (launch.inherited == kInheritedDescriptor) {
    if (::fcntl(kInheritedDescriptor, F_SETFD, 0) != 0)
      return false;
  } else if (::dup2(launch.inherited, kInheritedDescriptor) < 0) {
    return false;
  }
  return ::close_range(kFirstClosedDescriptor, ~0U, CLOSE_RANGE_CLOEXEC) == 0;
}
[[noreturn]] void execInChild(Launch launch) {
  // Out of the way of descriptor 3.
  launch.errorPipe = ::fcntl(launch.errorPipe, F_DUPFD_CLOEXEC, kFirstClosedDescriptor);
  if (launch.errorPipe >= 0 && killOnParentExit(launch.parent) && redirectOutputToLog(launch) &&
      closeAllButInherited(launch))
    ::execv(launch.arguments[0], launch.arguments);
  const int error = errno;
  if (launch.errorPipe >= 0)
    (void)!::write(launch.errorPipe, &error, sizeof error);
  ::_exit(kExitCannotStart);
}
// The errno that the child reports, or 0 once its exec() has closed the pipe.
int awaitExec(int errorPipe) {
  int error = 0;
  ssize_t received = 0;
  do
    received = ::read(errorPipe, &error, sizeof error);
  while (received < 0 && errno == EINTR);
  return received == sizeof error ? error : 0;
}
}  // namespace

pid_t startChild(const std::vector<std::string>& arguments, const std::string& logPath, int inherited) {
  std::vector<char*> pointers;
  pointers.reserve(arguments.size() + 1);
  for (const auto& argument : arguments)
    pointers.push_back(const_cast<char*>(argument.c_str()));
  pointers.push_back(nullptr);
  int errorPipe[2];
  if (::pipe2(errorPipe, O_CLOEXEC) != 0)
    return -1;
  const Launch launch{pointers.data(), logPath.c_str(), inherited, errorPipe[1], ::getpid()};
  const pid_t child = ::fork();
  if (child == 0)
    execInChild(launch);
  ::close(errorPipe[1]);
  const int error = child < 0 ? errno : awaitExec(errorPipe[0]);
  ::close(errorPipe[0]);
  if (error == 0)
    return child;
  if (child > 0)
    ::waitpid(child, nullptr, 0);
  errno = error;
  return -1;
}
}  // namespace zinccleat::simulation
