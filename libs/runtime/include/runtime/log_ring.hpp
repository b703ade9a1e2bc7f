// The log: a ring in memory, written out when something goes wrong.
#pragma once
#include "runtime/common.hpp"
namespace zc::ring {
// Sets the name that each line begins with after its time.
void name(std::string node);
// Keeps a line in the ring only.
void note(const std::string& line);
// Keeps a line and writes the ring out, at most once in a few seconds.
void alarm(const std::string& line);
// Writes a line at once, past the ring: start, stop and the like.
void say(const std::string& line);
// Writes out all lines of the ring that have not been written yet.
void dump();
// Whether notes are written at once too.
void verbose(bool on);
// The lines in the ring, oldest first.
std::vector<std::string> lines();
}  // namespace zc::ring
