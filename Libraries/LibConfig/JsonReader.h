#pragma once

#include "LibBase/Result.h"

#include <boost/json.hpp>
#include <initializer_list>
#include <string>
#include <string_view>

namespace latchslip {

// Reads the members of one JSON object and names the path of whatever is wrong.
class JsonReader
{
public:
  static FieldResult<JsonReader> Create(const boost::json::value& aValue, std::string aPath);

  FieldResult<std::string> Text(std::string_view aName) const;
  FieldResult<std::string> TextOr(std::string_view aName, std::string_view aDefault) const;
  FieldResult<bool> FlagOr(std::string_view aName, bool aDefault) const;
  FieldResult<double> NumberOr(std::string_view aName,
                               double aDefault,
                               double aLeast,
                               double aMost) const;
  FieldResult<const boost::json::array*> List(std::string_view aName) const;

  // Refuses members that are not in the list, since they are likely misspelt.
  FieldResult<void> AllowOnly(std::initializer_list<std::string_view> aNames) const;

  std::string PathOf(std::string_view aName) const;

private:
  JsonReader(const boost::json::object* aObject, std::string aPath);

  const boost::json::object* object_;
  std::string path_;
};

// Parses a JSON text; the error tells where reading stopped.
FieldResult<boost::json::value>
ParseJson(std::string_view aText, std::string_view aWhat);

} // namespace latchslip
