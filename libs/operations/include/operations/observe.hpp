// What a runbook's step is told to see in an answer. Pure.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::operations {
// One word for how many answers must meet it, then FIELD OP VALUE. FIELD goes through objects by dots; NAME# counts a
// list; NAME[key=value] picks an entry. OP is one of == != < <= > >= has.
struct Observation {
  enum class HowMany { any, all, one } howMany = HowMany::any;
  std::string field, op, value;
};
Result<Observation> parseObservation(std::string_view text);
// What stands at a field, as text; nothing if the field is not there.
std::optional<std::string> fieldOf(std::string_view json, std::string_view field);
bool meets(const Observation& o, const std::vector<std::string>& answers);
std::string seen(const Observation& o, const std::vector<std::string>& answers);
}  // namespace zinccleat::operations
