#include "runtime/log_ring.hpp"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <cstdio>
#include <ctime>

namespace zc::ring {
namespace {
constexpr std::size_t kKept = 400;
constexpr auto kBetweenDumps = 5s;
struct Ring {
  std::string node = "zinccleat";
  std::deque<std::string> kept;
  std::size_t fresh = 0;  // lines not written yet
  Instant lastDump{};
  bool verbose = false;
  log4cxx::LoggerPtr sink;
};
Ring& self() {
  static Ring r;
  return r;
}
void write(const std::string& s) {
  auto& r = self();
  // Why late: setting up the logging library costs start-up time that a calm process never owes.
  if (!r.sink) {
    auto layout = std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("%m%n"));
    auto out = std::make_shared<log4cxx::ConsoleAppender>(layout, LOG4CXX_STR("System.err"));
    log4cxx::helpers::Pool pool;
    out->activateOptions(pool);
    log4cxx::BasicConfigurator::configure(out);
    r.sink = log4cxx::Logger::getLogger("zinccleat");
  }
  LOG4CXX_INFO(r.sink, s);
}
std::string stamped(const std::string& line) {
  const auto ms = std::chrono::duration_cast<Span>(Clock::now().time_since_epoch()).count();
  char buf[40];
  std::snprintf(buf, sizeof buf, "%lld.%03lld ", static_cast<long long>(ms / 1000), static_cast<long long>(ms % 1000));
  return buf + self().node + " " + line;
}
}  // namespace

void name(std::string node) {
  self().node = std::move(node);
}
void verbose(bool on) {
  self().verbose = on;
}
void note(const std::string& line) {
  auto& r = self();
  r.kept.push_back(stamped(line));
  if (r.kept.size() > kKept)
    r.kept.pop_front();
  r.fresh = std::min(r.fresh + 1, kKept);
  if (r.verbose)
    dump();
}
void alarm(const std::string& line) {
  note("ALARM " + line);
  auto& r = self();
  const auto now = Clock::now();
  if (r.lastDump != Instant{} && now - r.lastDump < kBetweenDumps)
    return;
  r.lastDump = now;
  dump();
}
void say(const std::string& line) {
  write(stamped(line));
}
void dump() {
  auto& r = self();
  for (auto i = r.kept.size() - std::min(r.fresh, r.kept.size()); i < r.kept.size(); ++i)
    write(r.kept[i]);
  r.fresh = 0;
}
std::vector<std::string> lines() {
  return {self().kept.begin(), self().kept.end()};
}
}  // namespace zc::ring
