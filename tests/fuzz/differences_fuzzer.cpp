// Fuzzes deltas: any bytes as a delta, and any two texts as its base and result.
#include "fuzz_target.hpp"
#include "state_machine/delta.hpp"

namespace {
using namespace zinccleat;
using namespace zinccleat::state_machine;
constexpr std::string_view kBase = R"({"configVersion":1,"routeTable":[{"label":"a"},{"label":"b"}],"limits":{}})";

void applyAsDelta(std::string_view input) {
  static const auto kBaseDigest = digestOf(kBase);
  if (const auto result = applyDelta(kBase, kBaseDigest, input)) {
    const auto expected = applyDelta(kBase, kBaseDigest, input, digestOf(*result));
    fuzz::require(expected.has_value() && *expected == *result);
    fuzz::require(!applyDelta(kBase, kBaseDigest, input, "another digest"));
  }
}
/// The texts are the input before and after its first byte 0.
void roundTrip(std::string_view input) {
  const auto cut = std::min(input.find('\0'), input.size());
  const auto base = input.substr(0, cut);
  const auto text = cut < input.size() ? input.substr(cut + 1) : std::string_view{};
  const auto digest = digestOf(text);
  const auto delta = computeDelta(base, "base", text, digest);
  const auto result = applyDelta(base, "base", delta, digest);
  fuzz::require(result.has_value() && *result == text);
}
void fuzzDeltas(std::string_view input) {
  applyAsDelta(input);
  roundTrip(input);
}
std::vector<std::string> deltaExamples() {
  std::string changed(kBase);
  changed.replace(changed.find("\"b\""), 3, "\"changed\"");
  const auto texts = std::string(kBase) + std::string(1, '\0') + changed;
  return {computeDelta(kBase, digestOf(kBase), changed, digestOf(changed)),
          computeDelta(kBase, digestOf(kBase), kBase, digestOf(kBase)), texts,
          "[{\"a\\\"\":1}]" + std::string(1, '\0') + "}]"};
}
}  // namespace
ZINCCLEAT_FUZZ_TARGET(differences, fuzzDeltas, deltaExamples)
