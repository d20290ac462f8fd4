#pragma once

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <utility>

/// Errors that carry the step and the peer at which they arose.
namespace cranberryfold::core {

enum class error_code
{
  kInvalidInput,
  kNotFound,
  kConflict,
  kNoMajority,
  kTimeout,
  kUnreachable,
  kClosed,
  kMalformed,
  kLimitExceeded,
  kStorage,
  kInternal,
};

/// Returns the name of aCode as it stands in logs, such as "not_found".
std::string_view
ErrorCodeName(error_code aCode);

struct error
{
  error_code mCode = error_code::kInternal;
  /// What was being done, such as "parse_tables".
  std::string mStep;
  /// The address, instance or file on the other side; empty when there is none.
  std::string mPeer;
  /// One sentence for people.
  std::string mDetail;

  bool operator==(error const&) const = default;
};

/// Returns "step=… peer=… code=…: detail" for people.
std::string
FormatError(error const& aError);

template<class T>
using result = boost::leaf::result<T>;

/// Starts the propagation of an error; converts to any result.
inline boost::leaf::error_id
Fail(error aError)
{
  return boost::leaf::new_error(std::move(aError));
}

/// The end of a propagation: either a value or the error that stopped it.
template<class T>
struct attempt
{
  std::optional<T> mValue;
  error mError;

  explicit operator bool() const { return mValue.has_value(); }
  T& operator*() { return *mValue; }
  T const& operator*() const { return *mValue; }
  T* operator->() { return &*mValue; }
  T const* operator->() const { return &*mValue; }
};

struct nothing
{
  bool operator==(nothing const&) const = default;
};

namespace detail {

template<class Result>
struct result_value;

template<class T>
struct result_value<result<T>>
{
  using type = T;
};

template<>
struct result_value<result<void>>
{
  using type = nothing;
};

}

/// Runs aFunction, which returns a result, and turns its error into a value.
template<class Function>
auto
Attempt(Function&& aFunction)
{
  using value_type = typename detail::result_value<decltype(aFunction())>::type;
  return boost::leaf::try_handle_all(
    [&]() -> result<attempt<value_type>> {
      auto outcome = aFunction();
      if (!outcome) {
        return outcome.error();
      }
      if constexpr (std::is_same_v<value_type, nothing>) {
        return attempt<value_type>{ nothing{}, {} };
      } else {
        return attempt<value_type>{ std::move(*outcome), {} };
      }
    },
    [](error const& aError) {
      return attempt<value_type>{ std::nullopt, aError };
    },
    [] {
      return attempt<value_type>{
        std::nullopt,
        error{ error_code::kInternal, "unknown", "", "error without details" }
      };
    });
}

}
