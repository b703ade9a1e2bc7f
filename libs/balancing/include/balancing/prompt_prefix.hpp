/// @file
/// Parser of the request header `X-Prompt-Prefix`, which describes the parts of a request's prompt. No I/O.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::balancing {

struct PromptPrefix {
  std::uint64_t affinity = 0;     ///< hash of all parts except the last; 0 if there is only one part
  std::int64_t sharedTokens = 0;  ///< tokens of all parts except the last
  std::int64_t totalTokens = 0;   ///< tokens of all parts
};
/// Parses `ID:TOKENS,ID:TOKENS,...`. The last part belongs to this request alone; the other parts may be shared with
/// other requests. A part that cannot be parsed counts as 0 tokens.
PromptPrefix parsePromptPrefix(std::string_view text);
}  // namespace zinccleat::balancing
