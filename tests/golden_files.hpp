/// @file
/// Stored bytes of messages, disk records and answers (tests/golden/README.md): reading them, comparing with them, and
/// writing those that do not exist yet.
#pragma once
#include <ostream>
#include <set>

#include "runtime/common.hpp"

namespace zinccleat::golden {
/// A value whose encoding is stored. `decodeAndEncode` reads the stored bytes with the product's code and encodes what
/// it has read again.
struct Case {
  std::string file;  ///< in tests/golden; `.hex` for bytes, `.txt` or `.json` for text
  std::function<std::string()> encode;
  std::function<Result<std::string>(std::string)> decodeAndEncode;
  std::string weakValue;  ///< why a swapped or dropped field could go unseen in this value; empty: it can't

  std::string name() const { return file.substr(0, file.rfind('.')); }
  friend std::ostream& operator<<(std::ostream& out, const Case& golden) { return out << golden.name(); }
};
/// The content of a golden file as the bytes that it stands for.
Result<std::string> stored(const std::string& file);
/// Expects that the file exists and holds exactly these bytes. With ZINCCLEAT_WRITE_GOLDEN=1 in the environment a file
/// that does not exist is written first; one that exists is never changed.
void expectStored(const std::string& file, const std::string& bytes);
/// Encoding gives the stored bytes, and so does encoding what was decoded from them.
void check(const Case& golden);
/// The names of all golden files.
std::set<std::string> files();

/// Visits the fields of a value: each must differ from its default and from all other fields of its type.
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
/// Why a swapped or dropped field of this value could go unseen; empty: it can't.
template <class T>
std::string weaknessOf(T value) {
  FieldCheck fields;
  value.fields(fields);
  return fields.weakness();
}
}  // namespace zinccleat::golden
