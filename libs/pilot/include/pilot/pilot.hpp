// The access program: the proxy, with the applied copy that every request reads.
#pragma once
#include "charter/settings.hpp"
namespace zc {
int runPilot(const Settings& s);
}
