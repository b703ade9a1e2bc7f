/// Helpers for splitting lines of text.
#pragma once
#include <string>
#include <string_view>
namespace zinccleat::operations {
/// Removes spaces and tabs from both ends of a text, and carriage returns from its end.
std::string trim(std::string_view text);

/// The first word of a text and the text after it, trimmed.
struct SplitWord {
  std::string word;
  std::string rest;
  bool hasRest = false;  ///< whether a space followed the word
};
/// Splits a text at its first space.
SplitWord splitFirstWord(std::string_view text);
}  // namespace zinccleat::operations
