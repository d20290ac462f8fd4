#include "LibHttp/Message.h"

#include <algorithm>
#include <cstring>

#include <boost/beast/core/string.hpp>

namespace cranberryfold::http {

std::string_view
FindHeader(header_list const& aHeaders, std::string_view aName)
{
  auto const found =
    std::find_if(aHeaders.begin(), aHeaders.end(), [&](header const& aHeader) {
      return boost::beast::iequals(aHeader.mName, aName);
    });
  return found == aHeaders.end() ? std::string_view() : found->mValue;
}

bool
HeaderNameStartsWith(std::string_view aName, std::string_view aPrefix)
{
  return boost::beast::iequals(aName.substr(0, aPrefix.size()), aPrefix);
}

outgoing_body
BodyOf(std::string_view aText)
{
  return { aText.size(), [aText](char* aBuffer, std::size_t aCapacity) mutable {
            auto const count = std::min(aCapacity, aText.size());
            std::memcpy(aBuffer, aText.data(), count);
            aText.remove_prefix(count);
            return count;
          } };
}

std::string_view
FindQuery(std::string_view aTarget, std::string_view aName)
{
  auto const mark = aTarget.find('?');
  if (mark == std::string_view::npos) {
    return {};
  }
  auto rest = aTarget.substr(mark + 1);
  while (!rest.empty()) {
    auto const end = std::min(rest.find('&'), rest.size());
    auto const item = rest.substr(0, end);
    if (item.size() > aName.size() && item.starts_with(aName) &&
        item[aName.size()] == '=') {
      return item.substr(aName.size() + 1);
    }
    rest.remove_prefix(std::min(end + 1, rest.size()));
  }
  return {};
}

std::string_view
PathOf(std::string_view aTarget)
{
  return aTarget.substr(0, aTarget.find('?'));
}

}
