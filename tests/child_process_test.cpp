/// Tests that child processes of a trial or soak run are killed when their parent ends, and that concurrent fleets
/// never share addresses.
#include "child_process.hpp"

#include <gtest/gtest.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <memory>
#include <set>

#include "fleet.hpp"

using namespace zinccleat;
using namespace zinccleat::simulation;
namespace {
constexpr int kMaxWaitMs = 10'000;
constexpr const char* kEndless[] = {"/usr/bin/tail", "-f", "/dev/null"};

std::vector<std::string> endless() {
  return {std::begin(kEndless), std::end(kEndless)};
}
// A shell script in a temporary folder that ignores its arguments and runs until it is killed.
class EndlessProgram {
 public:
  EndlessProgram() {
    std::string folder = std::filesystem::temp_directory_path() / "zinccleat-endless-XXXXXX";
    folder_ = ::mkdtemp(folder.data());
    std::ofstream(path()) << "#!/bin/sh\nexec tail -f /dev/null\n";
    ::chmod(path().c_str(), 0755);
  }
  ~EndlessProgram() { std::filesystem::remove_all(folder_); }
  EndlessProgram(const EndlessProgram&) = delete;
  std::string path() const { return folder_ + "/program"; }

 private:
  std::string folder_;
};
// Waits up to kMaxWaitMs until no process has the write end of the pipe open. Returns false if the time limit passes.
bool awaitPipeClosed(int readEnd) {
  pollfd waited{readEnd, POLLIN, 0};
  char byte = 0;
  return ::poll(&waited, 1, kMaxWaitMs) == 1 && ::read(readEnd, &byte, 1) == 0;
}
// Waits up to kMaxWaitMs for a child, or for an orphan that was reparented to this process, and reaps it. Returns false
// if the process did not end by itself and had to be killed.
bool endsByItself(pid_t process) {
  const int handle = static_cast<int>(::syscall(SYS_pidfd_open, process, 0));
  pollfd waited{handle, POLLIN, 0};
  const bool ended = handle >= 0 && ::poll(&waited, 1, kMaxWaitMs) == 1;
  if (!ended)
    ::kill(process, SIGKILL);
  ::waitpid(process, nullptr, 0);
  ::close(handle);
  return ended;
}
// The errno of binding a second socket to the address with which a fleet reserves its network; 0 if binding succeeds.
int errnoOfBindingReservation(const std::string& ip) {
  boost::asio::io_context io;
  boost::asio::ip::tcp::acceptor acceptor(io);
  boost::system::error_code ec;
  acceptor.open(boost::asio::ip::tcp::v4());
  acceptor.bind({boost::asio::ip::make_address_v4(ip), LocalFleet::kControlPort}, ec);
  return ec.value();
}
std::string reservedIp(const LocalFleet& fleet) {
  return fleet.ip(255, 254);
}
}  // namespace

// Regression: child processes of a crashed trial kept running. After nine such trials the next trial could not serve.
TEST(ChildProcess, EndsWhenItsParentIsKilled) {
  int alive[2];
  ASSERT_EQ(::pipe(alive), 0);
  const pid_t parent = ::fork();
  if (parent == 0) {
    if (startChild(endless(), "/dev/null", alive[1]) > 0)
      ::kill(::getpid(), SIGKILL);
    ::_exit(1);
  }
  ::close(alive[1]);
  int status = 0;
  ASSERT_EQ(::waitpid(parent, &status, 0), parent);
  EXPECT_TRUE(WIFSIGNALED(status)) << "the child could not be started";
  EXPECT_TRUE(awaitPipeClosed(alive[0]));
  ::close(alive[0]);
}
TEST(ChildProcess, RunsOnWhileItsParentDoes) {
  int alive[2];
  ASSERT_EQ(::pipe(alive), 0);
  const pid_t child = startChild(endless(), "/dev/null", alive[1]);
  ASSERT_GT(child, 0);
  ::close(alive[1]);
  pollfd waited{alive[0], POLLIN, 0};
  EXPECT_EQ(::poll(&waited, 1, 0), 0);
  EXPECT_EQ(::waitpid(child, nullptr, WNOHANG), 0);
  ::kill(child, SIGKILL);
  EXPECT_EQ(::waitpid(child, nullptr, 0), child);
  EXPECT_TRUE(awaitPipeClosed(alive[0]));
  ::close(alive[0]);
}
TEST(ChildProcess, AMissingProgramIsReportedWithErrno) {
  EXPECT_EQ(startChild({"/nowhere/program"}, "/dev/null", STDIN_FILENO), -1);
  EXPECT_EQ(errno, ENOENT);
  EXPECT_EQ(startChild(endless(), "/nowhere/log", STDIN_FILENO), -1);
  EXPECT_EQ(errno, ENOENT);
}
TEST(ChildProcess, InheritsNoDescriptorButTheOneGiven) {
  int inherited[2];
  int notInherited[2];
  ASSERT_EQ(::pipe(inherited), 0);
  ASSERT_EQ(::pipe(notInherited), 0);
  const pid_t child = startChild(endless(), "/dev/null", inherited[1]);
  ASSERT_GT(child, 0);
  ::close(inherited[1]);
  ::close(notInherited[1]);
  EXPECT_TRUE(awaitPipeClosed(notInherited[0]));
  pollfd waited{inherited[0], POLLIN, 0};
  EXPECT_EQ(::poll(&waited, 1, 0), 0);
  ::kill(child, SIGKILL);
  ::waitpid(child, nullptr, 0);
  ::close(inherited[0]);
  ::close(notInherited[0]);
}
TEST(LocalFleet, TwoFleetsNeverShareANetworkOrInternalPorts) {
  std::vector<std::unique_ptr<LocalFleet>> fleets;
  std::set<std::string> reserved;
  std::set<unsigned short> ports;
  constexpr int kFleets = 20;
  for (int i = 0; i < kFleets; ++i) {
    fleets.push_back(std::make_unique<LocalFleet>("/nowhere/program", 1));
    EXPECT_TRUE(reserved.insert(reservedIp(*fleets.back())).second);
    EXPECT_TRUE(ports.insert(fleets.back()->internalPort()).second);
    EXPECT_EQ(errnoOfBindingReservation(reservedIp(*fleets.back())), EADDRINUSE);
  }
}
TEST(LocalFleet, NetworkStaysReservedUntilItsLastProcessEnds) {
  const EndlessProgram program;
  struct Report {
    pid_t child = 0;
    char ip[16] = {};
  };
  int reports[2];
  ASSERT_EQ(::pipe(reports), 0);
  // Makes the kernel reparent the fleet's processes to this process when their parent is killed, so that the test can
  // wait for them.
  ASSERT_EQ(::prctl(PR_SET_CHILD_SUBREAPER, 1), 0);
  const pid_t parent = ::fork();
  if (parent == 0) {
    LocalFleet fleet(program.path(), 1);
    Report report;
    if (!fleet.startCore())
      ::_exit(1);
    report.child = fleet.processes()[0].pid;
    reservedIp(fleet).copy(report.ip, sizeof report.ip - 1);
    // Closes the parent's reservation socket, as the kernel does when a process ends, before the parent is killed. From
    // then on only the child holds the socket.
    ::close_range(STDERR_FILENO + 1, static_cast<unsigned>(reports[1]) - 1, 0);
    ::close_range(static_cast<unsigned>(reports[1]) + 1, ~0U, 0);
    (void)!::write(reports[1], &report, sizeof report);
    for (;;)
      ::pause();
  }
  ::close(reports[1]);
  Report report;
  ASSERT_EQ(::read(reports[0], &report, sizeof report), static_cast<ssize_t>(sizeof report));
  EXPECT_EQ(errnoOfBindingReservation(report.ip), EADDRINUSE);
  ::kill(parent, SIGKILL);
  EXPECT_EQ(::waitpid(parent, nullptr, 0), parent);
  EXPECT_TRUE(endsByItself(report.child));
  EXPECT_EQ(errnoOfBindingReservation(report.ip), 0);
  ::prctl(PR_SET_CHILD_SUBREAPER, 0);
  ::close(reports[0]);
}
