/// Splitting lines of text.
#pragma once
#include <string>
#include <string_view>
namespace zinccleat::operations {
/// A text without spaces and tabs at both ends and without a carriage return at its end.
std::string trim(std::string_view text);

/// A text's first word and what follows it, trimmed.
struct SplitWord {
  std::string word;
  std::string rest;
  bool hasRest = false;  ///< there was a space behind the word
};
/// Splits a text at its first space.
SplitWord splitFirstWord(std::string_view text);
}  // namespace zinccleat::operations
