#include "golden_files.hpp"

#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace zinccleat::golden {
namespace {
const std::filesystem::path kFolder = "tests/golden";  // relative to the root of the source tree, where the tests run
constexpr std::size_t kBytesPerLine = 32;
constexpr const char* kWriteVariable = "ZINCCLEAT_WRITE_GOLDEN";

bool isBinary(const std::string& file) {
  return file.ends_with(".hex");
}
bool shouldWriteMissing() {
  const char* value = std::getenv(kWriteVariable);
  return value != nullptr && std::string_view(value) == "1";
}
std::string hexOf(std::string_view bytes) {
  constexpr std::string_view digits = "0123456789abcdef";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    const auto byte = static_cast<unsigned char>(bytes[i]);
    if (i > 0 && i % kBytesPerLine == 0)
      text += '\n';
    text += digits[byte >> 4U];
    text += digits[byte & 15U];
  }
  return text;
}
std::string bytesOf(const std::string& hex) {
  std::string digits;
  for (const char c : hex)
    if (c != '\n')
      digits += c;
  std::string bytes;
  for (std::size_t i = 0; i < digits.size(); i += 2)
    bytes += static_cast<char>(std::stoi(digits.substr(i, 2), nullptr, 16));
  return bytes;
}
/// The text of a golden file that represents these bytes, without the line feed at the end of the file.
std::string toGoldenText(const std::string& file, const std::string& bytes) {
  return isBinary(file) ? hexOf(bytes) : bytes;
}
Result<std::string> readGoldenText(const std::string& file) {
  std::ifstream in(kFolder / file, std::ios::binary);
  if (!in)
    return makeError(ErrorCode::ioError, "no golden file " + file + "; see tests/golden/README.md");
  std::ostringstream text;
  text << in.rdbuf();
  auto all = std::move(text).str();
  if (!all.ends_with('\n'))
    return makeError(ErrorCode::ioError, "golden file " + file + " does not end with a line feed");
  all.pop_back();
  return all;
}
void writeIfMissing(const std::string& file, const std::string& bytes) {
  const auto path = kFolder / file;
  if (!std::filesystem::exists(path))
    std::ofstream(path, std::ios::binary) << toGoldenText(file, bytes) << '\n';
}
}  // namespace

Result<std::string> stored(const std::string& file) {
  auto text = readGoldenText(file);
  if (!text || !isBinary(file))
    return text;
  return bytesOf(*text);
}
void expectStored(const std::string& file, const std::string& bytes) {
  if (shouldWriteMissing())
    writeIfMissing(file, bytes);
  const auto text = readGoldenText(file);
  ASSERT_TRUE(text) << text.error().message;
  EXPECT_EQ(toGoldenText(file, bytes), *text) << file;
}
void check(const Case& golden) {
  EXPECT_EQ(golden.valueWeakness, "") << golden.file;
  expectStored(golden.file, golden.encode());
  const auto bytes = stored(golden.file);
  if (!bytes || !golden.decodeAndEncode)
    return;
  const auto again = golden.decodeAndEncode(*bytes);
  ASSERT_TRUE(again) << golden.file << ": " << again.error().message;
  EXPECT_EQ(toGoldenText(golden.file, *again), toGoldenText(golden.file, *bytes)) << golden.file << ", decoded";
}
std::set<std::string> files() {
  std::set<std::string> names;
  for (const auto& entry : std::filesystem::directory_iterator(kFolder)) {
    const auto extension = entry.path().extension();
    if (extension == ".hex" || extension == ".txt" || extension == ".json")
      names.insert(entry.path().filename());
  }
  return names;
}
}  // namespace zinccleat::golden
