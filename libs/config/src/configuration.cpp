#include "config/configuration.hpp"

#include "lower_case.hpp"

namespace zinccleat::config {
int Configuration::find(std::string_view host, std::string_view path) const {
  host = host.substr(0, host.rfind(':'));
  const auto found = routesByAuthority.find(lowerCase(host));
  if (found == routesByAuthority.end())
    return -1;
  path = path.substr(0, path.find('?'));
  for (const int route : found->second)
    if (path.starts_with(routes[static_cast<std::size_t>(route)].pathPrefix))
      return route;
  return -1;
}
int Configuration::findSubscriber(std::string_view key) const {
  const auto found = subscriberByAccessKey.find(std::string(key));
  return found == subscriberByAccessKey.end() ? -1 : found->second;
}
}  // namespace zinccleat::config
