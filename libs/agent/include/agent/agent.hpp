// The agent beside each proxy: keeps the links to the core, orders and refetches, feeds the proxy over loopback.
#pragma once
#include "config/settings.hpp"
namespace zc {
int runAgent(const Settings& s);
}
