// One binary, its programs by subcommand.
#include <cstdio>

#include <unistd.h>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include "almanac/runbook.hpp"
#include "charter/configuration.hpp"
#include "charter/settings.hpp"
#include "harbourmaster/harbourmaster.hpp"
#include "keel/ring.hpp"
#include "pilot/pilot.hpp"
#include "rehearse/plan.hpp"
#include "tender/tender.hpp"

ABSL_FLAG(std::string, settings, "", "path of the settings file; default: $ZINCCLEAT_CONFIG");
ABSL_FLAG(std::vector<std::string>, set, {}, "runbook: name=value,...; a list value is split by +");
ABSL_FLAG(bool, dry, false, "runbook: show the steps, call nothing");
ABSL_FLAG(bool, json, false, "status: as JSON");
ABSL_FLAG(bool, verbose, false, "write log notes at once, not only when something goes wrong");

namespace {
constexpr const char* kUsage =
    "zinccleat SUBCOMMAND [--settings FILE] [--verbose]\n"
    "  pilot          the proxy on access machines\n"
    "  tender         the agent beside each pilot\n"
    "  harbourmaster  control, on core machines\n"
    "  check KIND FILE  checks a file; KIND is settings, configuration or runbook\n"
    "  status ADDRESS:PORT... [--json]  what the core's nodes know\n"
    "  runbook FILE --set name=value,... [--dry]  runs a runbook; lists of addresses are joined by +\n"
    "  rehearse [FILE] [--set name=value,...] [--json]  a scale run on loopback: real harbourmasters, hollow nodes";

// Why not return: the fiber library would wait for fibers that are parked on connections nobody serves any more.
[[noreturn]] void quit(int rc) {
  std::fflush(nullptr);
  ::_exit(rc);
}

int check(const std::vector<char*>& args) {
  if (args.size() != 4) {
    std::fprintf(stderr, "zinccleat check: wants KIND FILE\n");
    return 2;
  }
  const std::string kind = args[2];
  auto text = zc::readFile(args[3]);
  std::string wrong;
  if (!text) wrong = text.error().text;
  else if (kind == "settings") {
    if (auto s = zc::parseSettings(*text); !s) wrong = s.error().text;
  } else if (kind == "configuration") {
    if (auto c = zc::parseConfiguration(*text); !c) wrong = c.error().text;
  } else if (kind == "runbook") {
    if (auto b = zc::parseRunbook(*text, zc::sampleValues(*text)); !b) wrong = b.error().text;
  } else {
    std::fprintf(stderr, "zinccleat check: unknown kind '%s'\n", kind.c_str());
    return 2;
  }
  if (!wrong.empty()) {
    std::fprintf(stderr, "zinccleat check: %s: %s\n", args[3], wrong.c_str());
    return 1;
  }
  std::printf("%s: fine\n", args[3]);
  return 0;
}
}  // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(kUsage);
  const auto args = absl::ParseCommandLine(argc, argv);
  const std::string sub = args.size() > 1 ? args[1] : "";
  if (sub == "check") return check(args);
  const std::vector<std::string> rest(args.begin() + std::min<std::ptrdiff_t>(2, static_cast<std::ptrdiff_t>(args.size())), args.end());
  if (sub == "status") quit(zc::statusCommand(rest, absl::GetFlag(FLAGS_json)));
  if (sub == "runbook") {
    if (rest.size() != 1) {
      std::fprintf(stderr, "zinccleat runbook: wants one FILE\n");
      return 2;
    }
    auto sets = absl::GetFlag(FLAGS_set);
    for (auto& s : sets) std::replace(s.begin(), s.end(), '+', ',');
    // A bare name means one of those that come with the program.
    const auto file = rest[0].find_first_of("./") == std::string::npos ? "runbooks/" + rest[0] + ".run" : rest[0];
    quit(zc::runbookCommand(file, sets, absl::GetFlag(FLAGS_dry)));
  }
  if (sub == "rehearse") {
    auto text = rest.empty() ? zc::Outcome<std::string>("{}") : zc::readFile(rest[0]);
    auto plan = text ? zc::parsePlan(*text, absl::GetFlag(FLAGS_set)) : zc::Outcome<zc::RehearsalPlan>(tl::unexpected(text.error()));
    if (!plan) {
      std::fprintf(stderr, "zinccleat rehearse: %s\n", plan.error().text.c_str());
      return 2;
    }
    quit(zc::rehearse(*plan, "/proc/self/exe", absl::GetFlag(FLAGS_json)));
  }
  if (sub != "pilot" && sub != "tender" && sub != "harbourmaster") {
    std::fprintf(stderr, "zinccleat: unknown subcommand '%s'\n%s\n", sub.c_str(), kUsage);
    return 2;
  }
  auto path = absl::GetFlag(FLAGS_settings);
  if (path.empty()) path = zc::settingsPath();
  auto s = zc::loadSettings(path);
  if (!s) {
    std::fprintf(stderr, "zinccleat %s: %s\n", sub.c_str(), s.error().text.c_str());
    return 2;
  }
  zc::ring::name(s->node + "/" + sub);
  zc::ring::verbose(absl::GetFlag(FLAGS_verbose));
  const int rc = sub == "pilot" ? zc::runPilot(*s) : sub == "tender" ? zc::runTender(*s) : zc::runHarbourmaster(*s);
  quit(rc);
}
