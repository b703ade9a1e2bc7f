// The log: a ring in memory, written out when something goes wrong.
#pragma once
#include "runtime/common.hpp"
namespace zc::ring {
void name(std::string node);
void note(std::string line);   // kept in the ring only
void alarm(std::string line);  // kept, and the ring is written out (at most every few seconds)
void say(std::string line);    // start, stop and the like: written at once
void dump();
void verbose(bool on);  // notes are written at once too
std::vector<std::string> lines();
}  // namespace zc::ring
