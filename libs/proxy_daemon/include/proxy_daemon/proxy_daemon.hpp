// The access program: the proxy, with the applied copy that every request reads.
#pragma once
#include "config/settings.hpp"
namespace zc {
int runProxy(const Settings& s);
}
