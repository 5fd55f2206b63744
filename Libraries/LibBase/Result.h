#pragma once

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>
#include <string>

namespace latchslip {

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

// A value or an error. Each layer defines its own error type.
template<typename T, typename Error>
using Result = outcome::basic_result<T, Error, outcome::policy::all_narrow>;

// An error in a document written by a person: the field and the problem.
struct FieldError
{
  std::string field_;
  std::string problem_;

  // Returns the field and the problem as one line.
  std::string Describe() const { return field_ + ": " + problem_; }
};

template<typename T>
using FieldResult = Result<T, FieldError>;

} // namespace latchslip
