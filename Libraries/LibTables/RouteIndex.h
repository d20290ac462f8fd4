#pragma once

#include "LibTables/Tables.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cranberryfold::tables {

/// Finds the route of a request with hash lookups instead of a scan of all
/// rows. Immutable; shares ownership of its tables.
class route_index
{
public:
  explicit route_index(std::shared_ptr<table_set const> aTables);

  /// Returns the route for aHost and aMethod with the longest prefix that
  /// matches the path of aTarget, or nullptr if there is none. A prefix matches
  /// whole path segments: "/orders" matches "/orders/7", but not "/ordersX".
  /// Routes without a host are considered only if no route of the host matches.
  /// aHost may be in any case and may end with a port.
  route const* Find(std::string_view aHost,
                    std::string_view aMethod,
                    std::string_view aTarget) const;

  table_set const& Tables() const { return *mTables; }

private:
  struct text_hash
  {
    using is_transparent = void;
    std::size_t operator()(std::string_view aText) const
    {
      return std::hash<std::string_view>{}(aText);
    }
  };

  using rows = std::vector<route const*>;
  /// Rows by path prefix. Rows with the same prefix have different methods.
  using prefixes =
    std::unordered_map<std::string, rows, text_hash, std::equal_to<>>;

  static route const* FindIn(prefixes const& aPrefixes,
                             std::string_view aMethod,
                             std::string_view aPath);

  std::shared_ptr<table_set const> mTables;
  std::unordered_map<std::string, prefixes, text_hash, std::equal_to<>> mHosts;
};

}
