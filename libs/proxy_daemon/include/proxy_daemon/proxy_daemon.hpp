// The access program: the proxy, with the applied copy that every request reads.
#pragma once
#include "config/settings.hpp"
namespace zinccleat::proxy_daemon {
int runProxy(const config::Settings& s);
}
