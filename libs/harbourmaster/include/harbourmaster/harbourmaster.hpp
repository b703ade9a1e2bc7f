// The core's program: sequencer duty, store, runner list, operator calls, quota grants.
#pragma once
#include "charter/settings.hpp"
namespace zc {
int runHarbourmaster(const Settings& s);
}
