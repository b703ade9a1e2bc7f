// Runs the fuzz targets without libFuzzer: first on every input under tests/fuzz/corpus and on the examples of each
// target, then on seeded random mutations of these inputs. The number of mutations is chosen so that a target takes
// about a second. tools/fuzz.sh runs the same targets with libFuzzer, which is guided by coverage.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <random>

#include "fuzz/fuzz_target.hpp"

namespace {
using zinccleat::fuzz::Target;
constexpr std::uint64_t kSeed = 14;
constexpr int kMutationsPerTarget = 4000;
constexpr std::size_t kMaxInputBytes = 8192;

std::vector<std::string> corpusInputs(const Target& target) {
  std::vector<std::filesystem::path> files;
  const auto folder = std::filesystem::path("tests/fuzz/corpus") / target.name;
  if (std::filesystem::exists(folder))
    for (auto& file : std::filesystem::directory_iterator(folder))
      files.push_back(file.path());
  std::sort(files.begin(), files.end());
  std::vector<std::string> inputs;
  for (auto& path : files) {
    std::ifstream file(path, std::ios::binary);
    inputs.emplace_back(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
  }
  return inputs;
}
// Applies one random mutation of a kind that finds most faults: flips a bit, replaces a byte by a random or a boundary
// value, or removes, duplicates or copies in from another input a run of bytes.
void mutate(std::string& input, const std::string& other, std::mt19937_64& random) {
  static constexpr unsigned char kBoundaries[] = {0x00, 0x01, 0x7f, 0x80, 0xfe, 0xff, '\r', '\n', '"', '}'};
  const auto position = input.empty() ? 0 : random() % input.size();
  const auto length = 1 + random() % 16;
  switch (input.empty() ? 5 : random() % 6) {
    case 0:
      input[position] = static_cast<char>(input[position] ^ (1 << random() % 8));
      break;
    case 1:
      input[position] = static_cast<char>(random());
      break;
    case 2:
      input[position] = static_cast<char>(kBoundaries[random() % std::size(kBoundaries)]);
      break;
    case 3:
      input.erase(position, length);
      break;
    case 4:
      input.insert(position, input.substr(random() % input.size(), length));
      break;
    default:
      input.insert(position, other.empty() ? "x" : other.substr(random() % other.size(), 4 * length));
      break;
  }
  if (input.size() > kMaxInputBytes)
    input.resize(kMaxInputBytes);
}
class FuzzTargets : public testing::TestWithParam<std::size_t> {
 protected:
  const Target& target() const { return zinccleat::fuzz::targets()[GetParam()]; }
};
std::string nameOfTarget(const testing::TestParamInfo<std::size_t>& info) {
  return zinccleat::fuzz::targets()[info.param].name;
}
}  // namespace

TEST_P(FuzzTargets, BearsKeptInputs) {
  for (auto& input : corpusInputs(target()))
    target().run(input);
  for (auto& input : target().examples())
    target().run(input);
}
TEST_P(FuzzTargets, BearsMutatedInputs) {
  auto pool = corpusInputs(target());
  for (auto& example : target().examples())
    pool.push_back(example);
  std::mt19937_64 random(kSeed);
  for (int i = 0; i < kMutationsPerTarget; ++i) {
    auto input = pool[random() % pool.size()];
    for (auto changes = 1 + random() % 4; changes > 0; --changes)
      mutate(input, pool[random() % pool.size()], random);
    target().run(input);
  }
}
// The parameter is an index, because the targets are added to the table during static initialization, in an unspecified
// order.
INSTANTIATE_TEST_SUITE_P(All, FuzzTargets, testing::Range<std::size_t>(0, 7), nameOfTarget);
TEST(FuzzTargetTable, HoldsAllTargets) {
  EXPECT_EQ(zinccleat::fuzz::targets().size(), 8U);
}
