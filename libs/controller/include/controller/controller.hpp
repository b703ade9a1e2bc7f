// The core's program: leader role, store, runner list, operator calls, quota grants.
#pragma once
#include "config/settings.hpp"
namespace zc {
int runController(const Settings& s);
}
