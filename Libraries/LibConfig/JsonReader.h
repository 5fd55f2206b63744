#pragma once

#include "LibBase/Result.h"

#include <boost/json.hpp>
#include <initializer_list>
#include <string>
#include <string_view>

namespace latchslip {

// Reads typed members of a JSON object. Errors contain the path of the member.
class JsonReader
{
public:
  static FieldResult<JsonReader> Create(const boost::json::value& aValue, std::string aPath);

  // Text() and List() require the member; the ...Or() functions return the default if it is
  // absent.
  FieldResult<std::string> Text(std::string_view aName) const;
  FieldResult<std::string> TextOr(std::string_view aName, std::string_view aDefault) const;
  FieldResult<bool> FlagOr(std::string_view aName, bool aDefault) const;
  FieldResult<double> NumberOr(std::string_view aName,
                               double aDefault,
                               double aMin,
                               double aMax) const;
  FieldResult<const boost::json::array*> List(std::string_view aName) const;

  // Returns an error for members that are not in the list, as they are likely misspelt.
  FieldResult<void> AllowOnly(std::initializer_list<std::string_view> aNames) const;

  // Returns the path of a member, such as "services[0].slots".
  std::string PathOf(std::string_view aName) const;

private:
  JsonReader(const boost::json::object* aObject, std::string aPath);

  const boost::json::object* object_;
  std::string path_;
};

// Parses a JSON text; the error contains the position at which parsing stopped.
FieldResult<boost::json::value>
ParseJson(std::string_view aText, std::string_view aWhat);

} // namespace latchslip
