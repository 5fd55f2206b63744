#pragma once

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>
#include <string>

namespace latchslip {

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

// A value or the error of one layer. Each layer names its own error type.
template<typename T, typename Error>
using Result = outcome::basic_result<T, Error, outcome::policy::all_narrow>;

// An error of a text that a person wrote: which field, and what is wrong.
struct FieldError
{
  std::string field_;
  std::string problem_;

  // One sentence that names the field.
  std::string Describe() const { return field_ + ": " + problem_; }
};

template<typename T>
using FieldResult = Result<T, FieldError>;

} // namespace latchslip
