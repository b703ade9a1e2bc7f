/// @file
/// The prompt of a request, as the header `X-Prompt-Prefix` describes it. Pure.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::balancing {

struct PromptPrefix {
  std::uint64_t affinity = 0;     ///< Hash of all parts but the last; 0 if there are none.
  std::int64_t sharedTokens = 0;  ///< Tokens of all parts but the last.
  std::int64_t totalTokens = 0;
};
/// Reads `ID:TOKENS,ID:TOKENS,...`, of which the last part is the request's own and the others may be shared with other
/// requests. A part that cannot be read counts no tokens.
PromptPrefix parsePromptPrefix(std::string_view text);
}  // namespace zinccleat::balancing
