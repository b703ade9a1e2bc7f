// The agent beside each proxy: keeps the links to the core, orders and refetches, feeds the proxy over loopback.
#pragma once
#include "config/settings.hpp"
namespace zinccleat::agent {
int runAgent(const config::Settings& s);
}
