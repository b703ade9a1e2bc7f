// Avro for any struct that lists its fields: the schema, the writing and the reading follow the one list.
#pragma once
#include <avro.h>

#include <atomic>

#include "runtime/common.hpp"

namespace zinccleat::avro {
struct SchemaOf {
  std::string json;
  template <class T>
  std::string type();
  template <class T>
  void operator()(const char* n, T&) {
    json += (json.back() == '[' ? "" : ",") + std::string("{\"name\":\"") + n + "\",\"type\":" + type<T>() + "}";
  }
};
template <class T>
struct IsVec : std::false_type {};
template <class T>
struct IsVec<std::vector<T>> : std::true_type {
  using Of = T;
};
// Why a number a use: a schema may not spell the same record out twice under one name.
inline std::string recordName() {
  static std::atomic<int> uses{0};  // the disk's thread and the loop's may use a type for the first time at once
  return "R" + std::to_string(++uses);
}
template <class T>
std::string schemaText() {
  SchemaOf s;
  s.json = "{\"type\":\"record\",\"name\":\"" + recordName() + "\",\"fields\":[";
  T t{};
  t.fields(s);
  return s.json + "]}";
}
template <class T>
std::string SchemaOf::type() {
  if constexpr (std::is_same_v<T, bool>)
    return "\"boolean\"";
  else if constexpr (std::is_same_v<T, std::int32_t>)
    return "\"int\"";
  else if constexpr (std::is_same_v<T, std::int64_t>)
    return "\"long\"";
  else if constexpr (std::is_same_v<T, double>)
    return "\"double\"";
  else if constexpr (std::is_same_v<T, std::string>)
    return "\"bytes\"";
  else if constexpr (IsVec<T>::value)
    return "{\"type\":\"array\",\"items\":" + type<typename IsVec<T>::Of>() + "}";
  else
    return schemaText<T>();
}
struct Writer {
  avro_value_t* rec{};
  int i = 0;
  static void put(avro_value_t* f, bool x) { avro_value_set_boolean(f, x); }
  static void put(avro_value_t* f, std::int32_t x) { avro_value_set_int(f, x); }
  static void put(avro_value_t* f, std::int64_t x) { avro_value_set_long(f, x); }
  static void put(avro_value_t* f, double x) { avro_value_set_double(f, x); }
  static void put(avro_value_t* f, const std::string& x) {
    avro_value_set_bytes(f, const_cast<char*>(x.data()), x.size());
  }
  template <class T>
  static void put(avro_value_t* f, std::vector<T>& x) {
    for (auto& e : x) {
      avro_value_t el;
      avro_value_append(f, &el, nullptr);
      put(&el, e);
    }
  }
  template <class T>
  static auto put(avro_value_t* f, T& x) -> decltype(x.fields(std::declval<Writer&>())) {
    Writer w{f};
    x.fields(w);
  }
  template <class T>
  void operator()(const char*, T& x) {
    avro_value_t f;
    avro_value_get_by_index(rec, i++, &f, nullptr);
    put(&f, x);
  }
};
struct FieldReader {
  avro_value_t* rec{};
  int i = 0;
  static void get(avro_value_t* f, bool& x) {
    int b = 0;
    avro_value_get_boolean(f, &b);
    x = b != 0;
  }
  static void get(avro_value_t* f, std::int32_t& x) { avro_value_get_int(f, &x); }
  static void get(avro_value_t* f, std::int64_t& x) { avro_value_get_long(f, &x); }
  static void get(avro_value_t* f, double& x) { avro_value_get_double(f, &x); }
  static void get(avro_value_t* f, std::string& x) {
    const void* p = nullptr;
    std::size_t n = 0;
    avro_value_get_bytes(f, &p, &n);
    x.assign(static_cast<const char*>(p), n);
  }
  template <class T>
  static void get(avro_value_t* f, std::vector<T>& x) {
    std::size_t n = 0;
    avro_value_get_size(f, &n);
    x.resize(n);
    for (std::size_t k = 0; k < n; ++k) {
      avro_value_t el;
      avro_value_get_by_index(f, k, &el, nullptr);
      get(&el, x[k]);
    }
  }
  template <class T>
  static auto get(avro_value_t* f, T& x) -> decltype(x.fields(std::declval<FieldReader&>())) {
    FieldReader p{f};
    x.fields(p);
  }
  template <class T>
  void operator()(const char*, T& x) {
    avro_value_t f;
    avro_value_get_by_index(rec, i++, &f, nullptr);
    get(&f, x);
  }
};
// One value a type, kept: making one anew costs far more than clearing it.
template <class T>
struct CachedValue {
  avro_value_t value{};
  CachedValue() {
    const auto text = schemaText<T>();
    avro_schema_t s = nullptr;
    checkInvariant(avro_schema_from_json_length(text.data(), text.size(), &s) == 0, "own Avro schema");
    avro_value_iface_t* iface = avro_generic_class_from_schema(s);
    checkInvariant(iface != nullptr, "own Avro class");
    avro_generic_value_new(iface, &value);
  }
  static CachedValue& get() {
    static CachedValue m;
    return m;
  }
};
template <class T>
std::string encode(T t) {
  auto& v = CachedValue<T>::get().value;
  avro_value_reset(&v);
  Writer w{&v};
  t.fields(w);
  std::size_t n = 0;
  avro_value_sizeof(&v, &n);
  std::string out(n, '\0');
  auto* wr = avro_writer_memory(out.data(), static_cast<std::int64_t>(n));
  checkInvariant(avro_value_write(wr, &v) == 0, "Avro writing");
  avro_writer_free(wr);
  avro_value_reset(&v);
  return out;
}
template <class T>
Result<T> decode(std::string_view s) {
  auto& v = CachedValue<T>::get().value;
  avro_value_reset(&v);
  auto* rd = avro_reader_memory(s.data(), static_cast<std::int64_t>(s.size()));
  const int bad = avro_value_read(rd, &v);
  avro_reader_free(rd);
  if (bad) {
    avro_value_reset(&v);
    return makeError(ErrorCode::corruption, "no valid Avro record");
  }
  T t{};
  FieldReader p{&v};
  t.fields(p);
  avro_value_reset(&v);
  return t;
}
}  // namespace zinccleat::avro
