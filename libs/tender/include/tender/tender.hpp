// The agent beside each pilot: keeps the links to the core, orders and refetches, feeds the pilot over loopback.
#pragma once
#include "charter/settings.hpp"
namespace zc {
int runTender(const Settings& s);
}
