/// Registration of the fuzz targets. Each file tests/fuzz/NAME_fuzzer.cpp defines one target: a function that accepts
/// any bytes and must not crash, hang, allocate without bound or violate one of its own checks. If ZINCCLEAT_LIBFUZZER
/// is defined, the file becomes a libFuzzer program; otherwise the target is added to a table, and tests/fuzz_test.cpp
/// runs each target of this table on the corpus and on seeded mutations of it.
#pragma once
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>
#include <vector>

namespace zinccleat::fuzz {
/// A fuzz target.
struct Target {
  const char* name;                        ///< name of the target's folder under tests/fuzz/corpus
  void (*run)(std::string_view input);     ///< aborts if a check fails
  std::vector<std::string> (*examples)();  ///< valid inputs, used as a starting point of mutations
};
/// All targets linked into this program.
inline std::vector<Target>& targets() {
  static std::vector<Target> all;
  return all;
}
/// Adds a target to `targets()` when the program starts.
struct Registration {
  explicit Registration(Target target) { targets().push_back(target); }
};
/// Aborts if a property that must hold for any input is violated.
inline void require(bool holds) {
  if (!holds)
    std::abort();
}
}  // namespace zinccleat::fuzz

#ifdef ZINCCLEAT_LIBFUZZER
#include <cstdio>
// Before libFuzzer reads the corpus, the program writes the target's examples to the folder that the environment
// variable ZINCCLEAT_FUZZ_EXAMPLES names.
#define ZINCCLEAT_FUZZ_TARGET(NAME, RUN, EXAMPLES)                                                                 \
  extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {                              \
    RUN(std::string_view(reinterpret_cast<const char*>(data), size));                                              \
    return 0;                                                                                                      \
  }                                                                                                                \
  extern "C" int LLVMFuzzerInitialize(int*, char***) {                                                             \
    const char* folder = std::getenv("ZINCCLEAT_FUZZ_EXAMPLES");                                                   \
    int number = 0;                                                                                                \
    for (auto& example : EXAMPLES()) {                                                                             \
      if (!folder)                                                                                                 \
        break;                                                                                                     \
      if (auto* file = std::fopen((std::string(folder) + "/example-" + std::to_string(++number)).c_str(), "wb")) { \
        std::fwrite(example.data(), 1, example.size(), file);                                                      \
        std::fclose(file);                                                                                         \
      }                                                                                                            \
    }                                                                                                              \
    return 0;                                                                                                      \
  }
#else
#define ZINCCLEAT_FUZZ_TARGET(NAME, RUN, EXAMPLES) \
  static const zinccleat::fuzz::Registration registration({#NAME, RUN, EXAMPLES});
#endif
