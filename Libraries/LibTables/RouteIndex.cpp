#include "LibTables/RouteIndex.h"

#include <algorithm>
#include <cctype>

namespace cranberryfold::tables {

namespace {

/// Returns aHost in lower case and without a port.
std::string
NormaliseHost(std::string_view aHost)
{
  auto const colon = aHost.rfind(':');
  bool const isBracketed = aHost.ends_with(']');
  std::string host(colon == std::string_view::npos || isBracketed
                     ? aHost
                     : aHost.substr(0, colon));
  std::transform(
    host.begin(), host.end(), host.begin(), [](unsigned char aByte) {
      return static_cast<char>(std::tolower(aByte));
    });
  return host;
}

bool
MatchesMethod(route const& aRoute, std::string_view aMethod)
{
  return std::any_of(aRoute.mMethods.begin(),
                     aRoute.mMethods.end(),
                     [aMethod](std::string const& aEntry) {
                       return aEntry == "*" || aEntry == aMethod;
                     });
}

}

route_index::route_index(std::shared_ptr<table_set const> aTables)
  : mTables(std::move(aTables))
{
  for (auto const& [name, row] : mTables->mRoutes) {
    mHosts[row.mHost][row.mPathPrefix].push_back(&row);
  }
}

route const*
route_index::Find(std::string_view aHost,
                  std::string_view aMethod,
                  std::string_view aTarget) const
{
  auto const path = aTarget.substr(0, aTarget.find('?'));
  for (auto const& host : { NormaliseHost(aHost), std::string() }) {
    auto const found = mHosts.find(host);
    if (found == mHosts.end()) {
      continue;
    }
    if (auto const* const row = FindIn(found->second, aMethod, path)) {
      return row;
    }
  }
  return nullptr;
}

/// A matching prefix ends with a slash, before a slash or at the end of the
/// path. Only these prefixes of the path are looked up, longest first.
route const*
route_index::FindIn(prefixes const& aPrefixes,
                    std::string_view aMethod,
                    std::string_view aPath)
{
  auto const findAt = [&](std::string_view aPrefix) -> route const* {
    auto const found = aPrefixes.find(aPrefix);
    if (found == aPrefixes.end()) {
      return nullptr;
    }
    for (auto const* const row : found->second) {
      if (MatchesMethod(*row, aMethod)) {
        return row;
      }
    }
    return nullptr;
  };
  auto end = aPath.size();
  while (end > 0) {
    if (auto const* const row = findAt(aPath.substr(0, end))) {
      return row;
    }
    // A prefix that ends with a slash is followed by the same one without it.
    auto const slash = aPath.rfind('/', end - 1);
    if (slash == std::string_view::npos) {
      return nullptr;
    }
    end = slash + 1 == end ? slash : slash + 1;
  }
  return nullptr;
}

}
