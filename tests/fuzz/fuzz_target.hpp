/// The frame of the fuzz targets. Each file tests/fuzz/NAME_fuzzer.cpp defines one: a function that takes any bytes,
/// and must neither crash, hang, allocate without bound nor violate what it checks itself. Built with
/// ZINCCLEAT_LIBFUZZER the file is a program of clang's libFuzzer; otherwise it registers itself in a table, which
/// tests/fuzz_test.cpp runs with seeded mutations of the corpus.
#pragma once
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>
#include <vector>

namespace zinccleat::fuzz {
/// A fuzz target.
struct Target {
  const char* name;                        ///< of its folder under tests/fuzz/corpus
  void (*run)(std::string_view input);     ///< aborts if a check fails
  std::vector<std::string> (*examples)();  ///< valid inputs that the mutations start from
};
/// All targets linked into this program.
inline std::vector<Target>& targets() {
  static std::vector<Target> all;
  return all;
}
/// Adds a target to the table.
struct Registration {
  explicit Registration(Target target) { targets().push_back(target); }
};
/// Aborts unless a property that must hold for any input does.
inline void require(bool holds) {
  if (!holds)
    std::abort();
}
}  // namespace zinccleat::fuzz

#ifdef ZINCCLEAT_LIBFUZZER
#include <cstdio>
// Before libFuzzer reads the corpus, the examples are written to the folder that ZINCCLEAT_FUZZ_EXAMPLES names.
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
