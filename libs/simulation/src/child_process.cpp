#include "child_process.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>

namespace zinccleat::simulation {
namespace {
constexpr int kInheritedDescriptor = 3;
constexpr int kFirstClosedDescriptor = kInheritedDescriptor + 1;
constexpr int kLogMode = 0644;
constexpr int kExitCannotStart = 127;  // the status with which shells report a command that cannot be executed

// Data that the child uses between fork() and exec(). It is prepared before fork(), as the child must not allocate
// memory before exec().
struct Launch {
  char* const* arguments;
  const char* logPath;
  int inherited;
  int errorPipe;  // the child writes errno to it if a step before or in exec() fails; exec() closes it
  pid_t parent;
  ChildOptions options;
};
// Makes the kernel kill this process when its parent ends. Returns false if that fails or the parent has already ended:
// a parent that ended before the call of prctl() causes no signal.
bool killOnParentExit(pid_t parent) {
  return ::prctl(PR_SET_PDEATHSIG, SIGKILL) == 0 && ::getppid() == parent;
}
bool redirectOutputToLog(const Launch& launch) {
  const int log = ::open(launch.logPath, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kLogMode);
  return log >= 0 && ::dup2(log, STDOUT_FILENO) >= 0 && ::dup2(log, STDERR_FILENO) >= 0;
}
// Copies the inherited descriptor to descriptor 3 and marks all higher descriptors close-on-exec. A child with copies
// of the parent's sockets would keep connections open that the parent has closed.
bool closeAllButInherited(const Launch& launch) {
  // dup2() of a descriptor onto itself does not clear its close-on-exec flag, so that fcntl() has to clear it.
  if (launch.inherited == kInheritedDescriptor) {
    if (::fcntl(kInheritedDescriptor, F_SETFD, 0) != 0)
      return false;
  } else if (::dup2(launch.inherited, kInheritedDescriptor) < 0) {
    return false;
  }
  return ::close_range(kFirstClosedDescriptor, ~0U, CLOSE_RANGE_CLOEXEC) == 0;
}
bool limitDescriptors(int count) {
  if (count <= 0)
    return true;
  const rlimit limit{static_cast<rlim_t>(count), static_cast<rlim_t>(count)};
  return ::setrlimit(RLIMIT_NOFILE, &limit) == 0;
}
bool blockSignals() {
  sigset_t signals;
  ::sigemptyset(&signals);
  for (const int signal : {SIGTERM, SIGINT, SIGHUP, SIGUSR1})
    ::sigaddset(&signals, signal);
  return ::sigprocmask(SIG_BLOCK, &signals, nullptr) == 0;
}
bool applyOptions(const ChildOptions& options) {
  return limitDescriptors(options.maxDescriptors) && (!options.blocksSignals || blockSignals());
}
[[noreturn]] void execInChild(Launch launch) {
  // Moves the pipe above descriptor 3, which closeAllButInherited overwrites.
  launch.errorPipe = ::fcntl(launch.errorPipe, F_DUPFD_CLOEXEC, kFirstClosedDescriptor);
  if (launch.errorPipe >= 0 && killOnParentExit(launch.parent) && redirectOutputToLog(launch) &&
      closeAllButInherited(launch) && applyOptions(launch.options))
    ::execv(launch.arguments[0], launch.arguments);
  const int error = errno;
  if (launch.errorPipe >= 0)
    (void)!::write(launch.errorPipe, &error, sizeof error);
  ::_exit(kExitCannotStart);
}
// Waits until the child has executed the program or failed. Returns the errno that the child wrote to the pipe, or 0 if
// exec() succeeded and thereby closed the pipe.
int awaitExec(int errorPipe) {
  int error = 0;
  ssize_t received = 0;
  do
    received = ::read(errorPipe, &error, sizeof error);
  while (received < 0 && errno == EINTR);
  return received == sizeof error ? error : 0;
}
}  // namespace

pid_t startChild(const std::vector<std::string>& arguments, const std::string& logPath, int inherited,
                 const ChildOptions& options) {
  std::vector<char*> pointers;
  pointers.reserve(arguments.size() + 1);
  for (const auto& argument : arguments)
    pointers.push_back(const_cast<char*>(argument.c_str()));
  pointers.push_back(nullptr);
  int errorPipe[2];
  if (::pipe2(errorPipe, O_CLOEXEC) != 0)
    return -1;
  const Launch launch{pointers.data(), logPath.c_str(), inherited, errorPipe[1], ::getpid(), options};
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
