#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

/// Typed identifiers, so that an instance id cannot be passed as a zone.
namespace cranberryfold::core {

/// A name with a type of its own.
template<class Tag>
struct text_id
{
  std::string mValue;

  // The check takes the zero of a rewritten comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(text_id const&) const = default;
  bool IsEmpty() const { return mValue.empty(); }
};

/// A number with a type of its own.
template<class Tag>
struct number_id
{
  std::uint64_t mValue = 0;

  auto operator<=>(number_id const&) const = default;
};

/// Names one instance and the daemon on it; unique in the whole system.
using instance_id = text_id<struct instance_tag>;
using zone_id = text_id<struct zone_tag>;
using region_id = text_id<struct region_tag>;
using service_id = text_id<struct service_tag>;
/// Made by the operator's client; the same id sent again is the same edit.
using edit_id = text_id<struct edit_tag>;
/// Names one customer request across the whole call graph.
using request_id = text_id<struct request_tag>;
/// Number of accepted edits so far; revision 0 has empty tables.
using revision = number_id<struct revision_tag>;
/// Counts the lives of a process or replica; a higher one is more recent.
using incarnation = number_id<struct incarnation_tag>;

}

template<class Tag>
struct std::hash<cranberryfold::core::text_id<Tag>>
{
  std::size_t operator()(
    cranberryfold::core::text_id<Tag> const& aId) const noexcept
  {
    return std::hash<std::string>{}(aId.mValue);
  }
};

template<class Tag>
struct std::hash<cranberryfold::core::number_id<Tag>>
{
  std::size_t operator()(
    cranberryfold::core::number_id<Tag> const& aId) const noexcept
  {
    return std::hash<std::uint64_t>{}(aId.mValue);
  }
};
