// The core's program: leader role, store, runner list, operator calls, quota grants.
#pragma once
#include "config/settings.hpp"
namespace zinccleat::controller {
int runController(const config::Settings& s);
}
