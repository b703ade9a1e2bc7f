#include "runtime/process_end.hpp"

#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>

#include "runtime/log_ring.hpp"

namespace zinccleat::runtime {
namespace {
struct CrashSignal {
  int number;
  const char* name;
};
constexpr std::array<CrashSignal, 5> kCrashSignals{
    {{SIGSEGV, "SIGSEGV"}, {SIGBUS, "SIGBUS"}, {SIGFPE, "SIGFPE"}, {SIGILL, "SIGILL"}, {SIGABRT, "SIGABRT"}}};
constexpr std::size_t kMaxLineBytes = 256;
constexpr std::size_t kSignalStackBytes = std::size_t{32} * 1024;

/// The complete log line of each crash signal, formatted in advance: a signal handler may only call functions such as
/// write(2).
struct CrashLine {
  std::array<char, kMaxLineBytes> text{};
  std::size_t size = 0;
};
std::array<CrashLine, kCrashSignals.size()> crashLines;
alignas(16) std::array<char, kSignalStackBytes> signalStack;

void writeToStandardError(const char* text, std::size_t size) {
  (void)!::write(STDERR_FILENO, text, size);
}
// The signal has its default action again (SA_RESETHAND), so raising it ends the process.
void onCrashSignal(int signal) {
  for (std::size_t i = 0; i < kCrashSignals.size(); ++i)
    if (kCrashSignals[i].number == signal)
      writeToStandardError(crashLines[i].text.data(), crashLines[i].size);
  ::raise(signal);
}
// A separate stack, because the stack of a fiber may have overflowed.
void useSignalStack() {
  stack_t stack{};
  stack.ss_sp = signalStack.data();
  stack.ss_size = signalStack.size();
  ::sigaltstack(&stack, nullptr);
}
void handleCrashSignals(std::string_view process) {
  useSignalStack();
  for (std::size_t i = 0; i < kCrashSignals.size(); ++i) {
    auto& line = crashLines[i];
    const int length = std::snprintf(line.text.data(), line.text.size(),
                                     "%.*s level=error event=process_ended reason=signal signal=%s\n",
                                     static_cast<int>(process.size()), process.data(), kCrashSignals[i].name);
    line.size = std::min(static_cast<std::size_t>(std::max(length, 0)), line.text.size() - 1);
    struct sigaction action {};
    action.sa_handler = onCrashSignal;
    action.sa_flags = static_cast<int>(SA_RESETHAND) | SA_ONSTACK | SA_NODEFER;
    ::sigaction(kCrashSignals[i].number, &action, nullptr);
  }
}
// Uses a buffer on the stack, because the exception may mean that no memory is left.
void writeUncaughtException(const char* what) {
  std::array<char, kMaxLineBytes> line{};
  const int length = std::snprintf(line.data(), line.size(), "event=uncaught_exception reason=\"%s\"\n", what);
  writeToStandardError(line.data(), std::min(static_cast<std::size_t>(std::max(length, 0)), line.size() - 1));
}
[[noreturn]] void onUncaughtException() {
  try {
    if (const auto exception = std::current_exception())
      std::rethrow_exception(exception);
    writeUncaughtException("none; std::terminate was called");
  } catch (const std::exception& exception) {
    writeUncaughtException(exception.what());
  } catch (...) {
    writeUncaughtException("not a std::exception");
  }
  std::abort();
}
}  // namespace

void reportCrashes(std::string_view process) {
  std::signal(SIGPIPE, SIG_IGN);
  std::set_terminate(onUncaughtException);
  handleCrashSignals(process);
}
void endProcess(ExitStatus status, std::string_view reason) {
  log::info("process_ended", {{"status", static_cast<int>(status)}, {"reason", reason}});
  exitWithoutCleanup(static_cast<int>(status));
}
void exitWithoutCleanup(int status) {
  std::fflush(nullptr);
  ::_exit(status);
}
}  // namespace zinccleat::runtime
