// One fuzz target a file: a function that takes any bytes, and must neither crash, hang, grow without bound nor break
// what it checks itself. Built with ZINCCLEAT_LIBFUZZER it is a program of clang's libFuzzer; otherwise it enters a
// table that tests/fuzz_test.cpp goes through with a seeded mutation of the corpus.
#pragma once
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>
#include <vector>

namespace zinccleat::fuzz {
struct Target {
  const char* name;                        // its folder under tests/fuzz/corpus
  void (*run)(std::string_view input);     // aborts on what must not be
  std::vector<std::string> (*examples)();  // valid inputs, to begin from
};
inline std::vector<Target>& targets() {
  static std::vector<Target> all;
  return all;
}
struct Registration {
  explicit Registration(Target target) { targets().push_back(target); }
};
// What must hold for any input.
inline void require(bool holds) {
  if (!holds)
    std::abort();
}
}  // namespace zinccleat::fuzz

#ifdef ZINCCLEAT_LIBFUZZER
#include <cstdio>
// Before the corpus is read: the valid examples are laid beside it, in the folder that the environment names.
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
