#include "LibHttp/Beast.h"

namespace cranberryfold::http::detail {

header_list
ToHeaders(beast_http::fields const& aFields)
{
  header_list headers;
  for (auto const& field : aFields) {
    headers.push_back(
      { std::string(field.name_string()), std::string(field.value()) });
  }
  return headers;
}

void
AddHeaders(beast_http::fields& aFields, header_list const& aHeaders)
{
  for (auto const& [name, value] : aHeaders) {
    aFields.insert(name, value);
  }
}

}
