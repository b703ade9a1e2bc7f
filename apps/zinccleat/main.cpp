// One binary, its programs by subcommand.
#include <cstdio>

#include <unistd.h>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include "charter/configuration.hpp"
#include "charter/settings.hpp"
#include "harbourmaster/harbourmaster.hpp"
#include "keel/ring.hpp"
#include "pilot/pilot.hpp"
#include "tender/tender.hpp"

ABSL_FLAG(std::string, settings, "", "path of the settings file; default: $ZINCCLEAT_CONFIG");
ABSL_FLAG(bool, verbose, false, "write log notes at once, not only when something goes wrong");

namespace {
constexpr const char* kUsage =
    "zinccleat SUBCOMMAND [--settings FILE] [--verbose]\n"
    "  pilot          the proxy on access machines\n"
    "  tender         the agent beside each pilot\n"
    "  harbourmaster  control, on core machines\n"
    "  check KIND FILE  checks a file; KIND is settings or configuration";

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
  // Why not return: the fiber library would wait for fibers that are parked on wires nobody serves any more.
  std::fflush(nullptr);
  ::_exit(rc);
}
