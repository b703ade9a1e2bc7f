/// Avro's binary encoding (https://avro.apache.org/docs/1.12.0/specification/) for any struct that lists its fields in
/// a function template:
///
///     template <class V> void fields(V& v) { v("term", term), v("leader", leader); }
///
/// The schema, the encoder and the decoder are all derived from this list. Supported types are `bool`, `std::int32_t`,
/// `std::int64_t`, `double`, `std::string` (as Avro `bytes`), `std::vector` of these, and structs that list fields
/// themselves.
///
/// Only values are encoded, in the order of the list, and not the names: renaming a field does not change the encoding,
/// but reordering fields or changing a type does.
///
/// Limits: the schema builder, the encoder and the decoder recurse over types and not over data, so the nesting depth
/// is that of the struct for any input; a type cannot contain itself. The length of strings and vectors is limited only
/// by the size of the input, which the caller must bound (see `decodeFrames`). Bytes after the last field are ignored.
///
/// Thread safety: different types may be encoded and decoded concurrently. A single type must be used by one thread at
/// a time, because the Avro value is cached per type.
#pragma once
#include <avro.h>

#include <atomic>

#include "runtime/common.hpp"

namespace zinccleat::avro {
/// Visits a struct's fields and builds the `fields` array of its schema.
struct SchemaBuilder {
  std::string json;
  template <class T>
  std::string typeOf();
  template <class T>
  void operator()(const char* name, T&) {
    const std::string separator = json.back() == '[' ? "" : ",";
    json += separator + "{\"name\":\"" + name + "\",\"type\":" + typeOf<T>() + "}";
  }
};
template <class T>
struct IsVector : std::false_type {};
template <class T>
struct IsVector<std::vector<T>> : std::true_type {
  using Element = T;
};
/// Returns a new record name at each call, because a type may occur several times in a schema, which must not define a
/// name twice. Thread-safe.
inline std::string uniqueRecordName() {
  static std::atomic<int> names{0};
  return "R" + std::to_string(++names);
}
/// The schema of a struct, as JSON.
template <class T>
std::string schemaOf() {
  SchemaBuilder schema;
  schema.json = "{\"type\":\"record\",\"name\":\"" + uniqueRecordName() + "\",\"fields\":[";
  T sample{};
  sample.fields(schema);
  return schema.json + "]}";
}
template <class T>
std::string SchemaBuilder::typeOf() {
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
  else if constexpr (IsVector<T>::value)
    return "{\"type\":\"array\",\"items\":" + typeOf<typename IsVector<T>::Element>() + "}";
  else
    return schemaOf<T>();
}

/// Visits a struct's fields and stores each in the Avro record's field of the same position.
struct FieldWriter {
  avro_value_t* record{};
  int position = 0;
  static void put(avro_value_t* field, bool value) { avro_value_set_boolean(field, value); }
  static void put(avro_value_t* field, std::int32_t value) { avro_value_set_int(field, value); }
  static void put(avro_value_t* field, std::int64_t value) { avro_value_set_long(field, value); }
  static void put(avro_value_t* field, double value) { avro_value_set_double(field, value); }
  static void put(avro_value_t* field, const std::string& value) {
    // The const_cast is safe: Avro C copies the bytes, although its parameter is not const.
    avro_value_set_bytes(field, const_cast<char*>(value.data()), value.size());
  }
  template <class T>
  static void put(avro_value_t* field, std::vector<T>& values) {
    for (auto& value : values) {
      avro_value_t element;
      avro_value_append(field, &element, nullptr);
      put(&element, value);
    }
  }
  template <class T>
  static auto put(avro_value_t* field, T& value) -> decltype(value.fields(std::declval<FieldWriter&>())) {
    FieldWriter nested{field};
    value.fields(nested);
  }
  template <class T>
  void operator()(const char*, T& value) {
    avro_value_t field;
    avro_value_get_by_index(record, position++, &field, nullptr);
    put(&field, value);
  }
};
/// Visits a struct's fields and loads each from the Avro record's field of the same position.
struct FieldReader {
  avro_value_t* record{};
  int position = 0;
  static void get(avro_value_t* field, bool& value) {
    int number = 0;
    avro_value_get_boolean(field, &number);
    value = number != 0;
  }
  static void get(avro_value_t* field, std::int32_t& value) { avro_value_get_int(field, &value); }
  static void get(avro_value_t* field, std::int64_t& value) { avro_value_get_long(field, &value); }
  static void get(avro_value_t* field, double& value) { avro_value_get_double(field, &value); }
  static void get(avro_value_t* field, std::string& value) {
    const void* bytes = nullptr;
    std::size_t size = 0;
    avro_value_get_bytes(field, &bytes, &size);
    value.assign(static_cast<const char*>(bytes), size);
  }
  template <class T>
  static void get(avro_value_t* field, std::vector<T>& values) {
    std::size_t size = 0;
    avro_value_get_size(field, &size);
    values.resize(size);
    for (std::size_t i = 0; i < size; ++i) {
      avro_value_t element;
      avro_value_get_by_index(field, i, &element, nullptr);
      get(&element, values[i]);
    }
  }
  template <class T>
  static auto get(avro_value_t* field, T& value) -> decltype(value.fields(std::declval<FieldReader&>())) {
    FieldReader nested{field};
    value.fields(nested);
  }
  template <class T>
  void operator()(const char*, T& value) {
    avro_value_t field;
    avro_value_get_by_index(record, position++, &field, nullptr);
    get(&field, value);
  }
};

/// The Avro value of a type, reused for all messages of this type, because resetting a value is far cheaper than
/// creating one.
template <class T>
class CachedValue {
 public:
  static CachedValue& instance() {
    static CachedValue cached;
    return cached;
  }
  /// Clears the value and returns it.
  avro_value_t* reset() {
    avro_value_reset(&value_);
    return &value_;
  }

 private:
  CachedValue() {
    const auto text = schemaOf<T>();
    avro_schema_t schema = nullptr;
    checkInvariant(avro_schema_from_json_length(text.data(), text.size(), &schema) == 0,
                   "the generated Avro schema is valid");
    avro_value_iface_t* valueClass = avro_generic_class_from_schema(schema);
    checkInvariant(valueClass != nullptr, "the Avro class of the schema can be created");
    avro_generic_value_new(valueClass, &value_);
  }
  avro_value_t value_{};
};

/// Encodes a struct.
template <class T>
std::string encode(T message) {
  auto& cached = CachedValue<T>::instance();
  auto* value = cached.reset();
  FieldWriter fields{value};
  message.fields(fields);
  std::size_t size = 0;
  avro_value_sizeof(value, &size);
  std::string bytes(size, '\0');
  auto* writer = avro_writer_memory(bytes.data(), static_cast<std::int64_t>(size));
  checkInvariant(avro_value_write(writer, value) == 0, "the Avro value can be encoded");
  avro_writer_free(writer);
  cached.reset();
  return bytes;
}
/// Decodes a struct.
/// @param consumed if not null, receives the length of the record at the front of `bytes`.
/// @return `ErrorCode::corruption` if the bytes are not a valid encoding of the struct.
template <class T>
Result<T> decode(std::string_view bytes, std::size_t* consumed = nullptr) {
  auto& cached = CachedValue<T>::instance();
  auto* value = cached.reset();
  auto* reader = avro_reader_memory(bytes.data(), static_cast<std::int64_t>(bytes.size()));
  const bool valid = avro_value_read(reader, value) == 0;
  avro_reader_free(reader);
  if (!valid) {
    cached.reset();
    return makeError(ErrorCode::corruption, "no valid Avro record");
  }
  if (consumed)
    avro_value_sizeof(value, consumed);
  T message{};
  FieldReader fields{value};
  message.fields(fields);
  cached.reset();
  return message;
}
}  // namespace zinccleat::avro
