#include "runtime/log_ring.hpp"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <poll.h>
#include <unistd.h>

#include <cstdio>
#include <ctime>

namespace zinccleat::log {
namespace {
constexpr std::size_t kMaxLines = 400;
constexpr auto kMinDumpInterval = 5s;

struct RingBuffer {
  std::string node = "zinccleat";
  std::deque<std::string> lines;
  std::size_t unwritten = 0;  // number of newest lines that were not written to standard error yet
  TimePoint lastDump{};
  bool verbose = false;
  log4cxx::LoggerPtr sink;
};
RingBuffer& ringBuffer() {
  static RingBuffer instance;
  return instance;
}

// Called when the first line is written, because initializing log4cxx at the start would delay every process start.
log4cxx::LoggerPtr makeSink() {
  auto layout = std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("%m%n"));
  auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout, LOG4CXX_STR("System.err"));
  log4cxx::helpers::Pool pool;
  appender->activateOptions(pool);
  log4cxx::BasicConfigurator::configure(appender);
  return log4cxx::Logger::getLogger("zinccleat");
}
// Whether standard error takes a line without blocking. A pipe is full if the process at its other end does not read.
bool outputIsWritable() {
  pollfd output{STDERR_FILENO, POLLOUT, 0};
  return ::poll(&output, 1, 0) != 0;
}
// Drops the line if writing it would block: the process must go on, and must still end when it is asked to.
void write(const std::string& line) {
  if (!outputIsWritable())
    return;
  auto& ring = ringBuffer();
  if (!ring.sink)
    ring.sink = makeSink();
  LOG4CXX_INFO(ring.sink, line);
}

bool needsQuotes(std::string_view value) {
  return value.empty() || value.find_first_of(" \t\n\r\"=") != std::string_view::npos;
}
void appendQuoted(std::string& line, std::string_view value) {
  line += '"';
  for (const char character : value) {
    if (character == '"' || character == '\\')
      line += '\\';
    line += character == '\n' || character == '\r' ? ' ' : character;
  }
  line += '"';
}
std::string timestamp() {
  const auto sinceStart = toDuration(Clock::now().time_since_epoch()).count();
  char text[40];
  std::snprintf(text, sizeof text, "%lld.%03lld", static_cast<long long>(sinceStart / 1000),
                static_cast<long long>(sinceStart % 1000));
  return text;
}
std::string formatLine(std::string_view level, std::string_view event, Fields fields) {
  std::string line = timestamp() + " " + ringBuffer().node;
  if (!level.empty())
    line.append(" level=").append(level);
  line.append(" event=").append(event);
  for (const auto& field : fields) {
    line.append(" ").append(field.key).append("=");
    if (needsQuotes(field.value))
      appendQuoted(line, field.value);
    else
      line += field.value;
  }
  return line;
}
void appendToRing(std::string line) {
  auto& ring = ringBuffer();
  ring.lines.push_back(std::move(line));
  if (ring.lines.size() > kMaxLines)
    ring.lines.pop_front();
  ring.unwritten = std::min(ring.unwritten + 1, kMaxLines);
  if (ring.verbose)
    dump();
}
}  // namespace

void setNodeName(std::string node) {
  ringBuffer().node = std::move(node);
}
void setVerbose(bool on) {
  ringBuffer().verbose = on;
}
void debug(std::string_view event, Fields fields) {
  appendToRing(formatLine({}, event, fields));
}
void error(std::string_view event, Fields fields) {
  appendToRing(formatLine("error", event, fields));
  auto& ring = ringBuffer();
  const auto now = Clock::now();
  if (ring.lastDump != TimePoint{} && now - ring.lastDump < kMinDumpInterval)
    return;
  ring.lastDump = now;
  dump();
}
void info(std::string_view event, Fields fields) {
  write(formatLine({}, event, fields));
}
void dump() {
  auto& ring = ringBuffer();
  const auto count = std::min(ring.unwritten, ring.lines.size());
  for (auto i = ring.lines.size() - count; i < ring.lines.size(); ++i)
    write(ring.lines[i]);
  ring.unwritten = 0;
}
std::vector<std::string> lines() {
  return {ringBuffer().lines.begin(), ringBuffer().lines.end()};
}
}  // namespace zinccleat::log
