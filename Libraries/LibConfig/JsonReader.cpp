#include "LibConfig/JsonReader.h"

#include <algorithm>

namespace latchslip {

JsonReader::JsonReader(const boost::json::object* aObject, std::string aPath)
  : object_(aObject)
  , path_(std::move(aPath))
{
}

FieldResult<JsonReader>
JsonReader::Create(const boost::json::value& aValue, std::string aPath)
{
  if (!aValue.is_object()) {
    return FieldError{ aPath.empty() ? "document" : aPath, "must be an object" };
  }
  return JsonReader(&aValue.get_object(), std::move(aPath));
}

std::string
JsonReader::PathOf(std::string_view aName) const
{
  return path_.empty() ? std::string(aName) : path_ + "." + std::string(aName);
}

FieldResult<std::string>
JsonReader::Text(std::string_view aName) const
{
  const auto* found = object_->if_contains(aName);
  if (found == nullptr) {
    return FieldError{ PathOf(aName), "is missing" };
  }
  if (!found->is_string() || found->get_string().empty()) {
    return FieldError{ PathOf(aName), "must be a non-empty string" };
  }
  return std::string(found->get_string());
}

FieldResult<std::string>
JsonReader::TextOr(std::string_view aName, std::string_view aDefault) const
{
  if (!object_->contains(aName)) {
    return std::string(aDefault);
  }
  return Text(aName);
}

FieldResult<bool>
JsonReader::FlagOr(std::string_view aName, bool aDefault) const
{
  const auto* found = object_->if_contains(aName);
  if (found == nullptr) {
    return aDefault;
  }
  if (!found->is_bool()) {
    return FieldError{ PathOf(aName), "must be true or false" };
  }
  return found->get_bool();
}

FieldResult<double>
JsonReader::NumberOr(std::string_view aName, double aDefault, double aMin, double aMax) const
{
  const auto* found = object_->if_contains(aName);
  if (found == nullptr) {
    return aDefault;
  }
  const bool isNumber = found->is_number();
  const double value = isNumber ? found->to_number<double>() : 0;
  if (!isNumber || value < aMin || value > aMax) {
    return FieldError{
      PathOf(aName), "must be a number from " + std::to_string(aMin) + " to " + std::to_string(aMax)
    };
  }
  return value;
}

FieldResult<const boost::json::array*>
JsonReader::List(std::string_view aName) const
{
  const auto* found = object_->if_contains(aName);
  if (found == nullptr || !found->is_array()) {
    return FieldError{ PathOf(aName), "must be a list" };
  }
  return &found->get_array();
}

FieldResult<void>
JsonReader::AllowOnly(std::initializer_list<std::string_view> aNames) const
{
  for (const auto& member : *object_) {
    const std::string_view name = member.key();
    if (std::find(aNames.begin(), aNames.end(), name) == aNames.end()) {
      return FieldError{ PathOf(name), "is not a known field" };
    }
  }
  return outcome::success();
}

FieldResult<boost::json::value>
ParseJson(std::string_view aText, std::string_view aWhat)
{
  boost::json::error_code error;
  boost::json::parse_options options;
  options.allow_comments = true;
  auto value = boost::json::parse({ aText.data(), aText.size() }, error, {}, options);
  if (error) {
    return FieldError{ std::string(aWhat), "is not valid JSON: " + error.message() };
  }
  return value;
}

} // namespace latchslip
