/// @file
/// Golden files (tests/golden/README.md), which hold the encoded bytes of messages, disk records and responses:
/// functions to read them, compare with them, and write missing ones.
#pragma once
#include <ostream>
#include <set>

#include "runtime/common.hpp"

namespace zinccleat::golden {
/// A value whose encoding is stored in a golden file. `decodeAndEncode` decodes the stored bytes with the production
/// code and encodes the result again.
struct Case {
  std::string file;  ///< in tests/golden; `.hex` for bytes, `.txt` or `.json` for text
  std::function<std::string()> encode;
  std::function<Result<std::string>(std::string)> decodeAndEncode;
  std::string valueWeakness;  ///< why the test could miss a swapped or dropped field of this value; empty if it cannot

  std::string name() const { return file.substr(0, file.rfind('.')); }
  friend std::ostream& operator<<(std::ostream& out, const Case& golden) { return out << golden.name(); }
};
/// The bytes that a golden file represents.
Result<std::string> stored(const std::string& file);
/// Expects that the golden file exists and represents exactly these bytes. If ZINCCLEAT_WRITE_GOLDEN=1 is set in the
/// environment, a missing file is written first. An existing file is never changed.
void expectStored(const std::string& file, const std::string& bytes);
/// Expects that encoding the value gives the stored bytes, and that decoding and encoding the stored bytes again
/// reproduces them.
void check(const Case& golden);
/// The names of all golden files.
std::set<std::string> files();

/// Checks that each field of a value differs from its default and from all other fields of the same type, so that a
/// swapped or dropped field changes the encoding.
class FieldCheck {
 public:
  template <class T>
  void operator()(const char* name, T& value) {
    if constexpr (requires { value.fields(*this); })
      value.fields(*this);
    else if constexpr (requires { value.front().fields(*this); })
      elements(name, value);
    else
      scalar(name, value);
  }
  std::string weakness() const { return weakness_; }

 private:
  template <class T>
  void elements(const char* name, T& values) {
    if (values.size() < 2)
      weakness_ = std::string(name) + " has fewer than two elements";
    for (auto& value : values)
      value.fields(*this);
  }
  template <class T>
  void scalar(const char* name, const T& value) {
    if (value == T{})
      weakness_ = std::string(name) + " has its default value";
    if constexpr (!std::is_same_v<T, bool>)
      if (!seen<T>().insert(value).second)
        weakness_ = std::string(name) + " has the same value as another field";
  }
  template <class T>
  std::set<T>& seen() {
    return std::get<std::set<T>>(seen_);
  }
  std::tuple<std::set<std::int32_t>, std::set<std::int64_t>, std::set<double>, std::set<std::string>,
             std::set<std::vector<std::string>>, std::set<std::vector<std::int64_t>>>
      seen_;
  std::string weakness_;
};
/// Why a test could miss a swapped or dropped field of this value; empty if it cannot.
template <class T>
std::string weaknessOf(T value) {
  FieldCheck fields;
  value.fields(fields);
  return fields.weakness();
}
}  // namespace zinccleat::golden
