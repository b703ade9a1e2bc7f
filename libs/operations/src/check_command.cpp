#include <array>
#include <cstdio>

#include "config/configuration.hpp"
#include "config/control_requests.hpp"
#include "config/settings.hpp"
#include "operations/commands.hpp"
#include "operations/runbook.hpp"

namespace zinccleat::operations {
namespace {
// Returns the error message, or an empty string if the result is valid.
template <class Value>
std::string errorOf(const Result<Value>& result) {
  return result ? std::string() : result.error().message;
}
std::string checkSettings(const std::string& text) {
  return errorOf(config::parseSettings(text));
}
std::string checkConfiguration(const std::string& text) {
  return errorOf(config::parseConfiguration(text));
}
std::string checkRollout(const std::string& text) {
  return errorOf(config::parseRolloutRequest(text));
}
std::string checkRunbook(const std::string& text) {
  return errorOf(parseRunbook(text, sampleValues(text)));
}

struct FileKind {
  std::string_view name;
  std::string (*check)(const std::string& text);
};
constexpr std::array<FileKind, 4> kFileKinds{{{"settings", checkSettings},
                                              {"configuration", checkConfiguration},
                                              {"rollout", checkRollout},
                                              {"runbook", checkRunbook}}};

// A remark on a valid file that an operator may not have meant so; empty if there is none.
std::string remarkOn(std::string_view kind, const std::string& text) {
  if (kind != "configuration")
    return {};
  const auto configuration = config::parseConfiguration(text);
  const bool refusesAll =
      configuration && (*configuration)->requiresAccessKeys && (*configuration)->subscribers.empty();
  return refusesAll ? "; 'subscribers' is empty: no key is valid, and only keyless routes are served" : "";
}

int reportInvalid(const std::string& file, const std::string& problem) {
  std::fprintf(stderr, "zinccleat check: %s: %s\n", file.c_str(), problem.c_str());
  return 1;
}
}  // namespace

int checkCommand(const std::string& kind, const std::string& file) {
  const auto text = config::readFile(file);
  if (!text)
    return reportInvalid(file, text.error().message);
  const auto found = std::find_if(kFileKinds.begin(), kFileKinds.end(),
                                  [&](const FileKind& candidate) { return candidate.name == kind; });
  if (found == kFileKinds.end()) {
    std::fprintf(stderr, "zinccleat check: unknown kind '%s'\n", kind.c_str());
    return 2;
  }
  if (const auto problem = found->check(*text); !problem.empty())
    return reportInvalid(file, problem);
  std::printf("%s: fine%s\n", file.c_str(), remarkOn(kind, *text).c_str());
  return 0;
}
}  // namespace zinccleat::operations
