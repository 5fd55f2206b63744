#pragma once

#include "LibBase/Result.h"
#include "LibBase/Time.h"

#include <charconv>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace latchslip {

// An error in a scenario, with its position in the text; line and column count from 1.
struct ScriptError
{
  std::size_t line_ = 0;
  std::size_t column_ = 0;
  std::string problem_;

  std::string Describe() const
  {
    return "line " + std::to_string(line_) + ", column " + std::to_string(column_) + ": " +
           problem_;
  }
};
template<typename T>
using ScriptResult = Result<T, ScriptError>;

// A word of a statement and its position in the text; line and column count from 1.
struct ScriptWord
{
  std::string text_;
  std::size_t line_ = 0;
  std::size_t column_ = 0;
};
using ScriptStatement = std::vector<ScriptWord>;

// Splits a scenario into statements and words; drops comments and blank lines.
std::vector<ScriptStatement>
SplitScript(std::string_view aText);

ScriptError
ErrorAt(const ScriptWord& aWord, const std::string& aProblem);

// Reads the words of one statement from left to right. Each read fails with the position of the
// word that doesn't fit. The aWhat arguments describe the expected word in error messages.
class ScriptReader
{
public:
  explicit ScriptReader(const ScriptStatement& aStatement)
    : statement_(aStatement)
  {
  }

  bool HasMore() const { return next_ < statement_.size(); }
  // The word that was read last, or the first word if none was.
  const ScriptWord& LastWord() const { return statement_[next_ == 0 ? 0 : next_ - 1]; }

  ScriptResult<ScriptWord> ReadWord(const std::string& aWhat)
  {
    if (!HasMore()) {
      return ErrorAt(statement_.back(), "the statement ends where " + aWhat + " is expected");
    }
    return statement_[next_++];
  }

  ScriptResult<std::string> ReadText(const std::string& aWhat)
  {
    BOOST_OUTCOME_TRY(const auto word, ReadWord(aWhat));
    return word.text_;
  }

  // Reads a keyword, which must be aText.
  ScriptResult<void> ReadKeyword(const std::string& aText)
  {
    BOOST_OUTCOME_TRY(const auto word, ReadWord("\"" + aText + "\""));
    if (word.text_ != aText) {
      return ErrorAt(word, "expected \"" + aText + "\" and found \"" + word.text_ + "\"");
    }
    return outcome::success();
  }

  // Reads a number with an optional suffix, such as "%" or "/s".
  ScriptResult<double> ReadNumber(const std::string& aWhat, std::string_view aSuffix = "")
  {
    BOOST_OUTCOME_TRY(const auto word, ReadWord(aWhat));
    std::string_view text = word.text_;
    if (!aSuffix.empty() && text.ends_with(aSuffix)) {
      text.remove_suffix(aSuffix.size());
    }
    double number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    if (parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size()) {
      return ErrorAt(word, aWhat + " must be a number and not \"" + word.text_ + "\"");
    }
    return number;
  }

  // Reads a duration with its unit, such as 200ms or 2s.
  ScriptResult<Duration> ReadDuration(const std::string& aWhat)
  {
    BOOST_OUTCOME_TRY(const auto word, ReadWord(aWhat));
    std::string_view text = word.text_;
    const bool isMillis = text.ends_with("ms");
    const bool isSeconds = !isMillis && text.ends_with("s");
    text.remove_suffix(isMillis ? 2 : isSeconds ? 1 : 0);
    double number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool isWhole = parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size();
    if (!isWhole || (!isMillis && !isSeconds)) {
      return ErrorAt(word,
                     aWhat + " must be a time like 200ms or 2s and not \"" + word.text_ + "\"");
    }
    return Duration(static_cast<std::int64_t>(number * (isMillis ? 1e3 : 1e6)));
  }

  // Reads one of two keywords; true for aFirst.
  ScriptResult<bool> ReadChoice(const std::string& aFirst, const std::string& aSecond)
  {
    BOOST_OUTCOME_TRY(const auto word, ReadWord(aFirst + " or " + aSecond));
    if (word.text_ != aFirst && word.text_ != aSecond) {
      return ErrorAt(word,
                     "expected " + aFirst + " or " + aSecond + " and found \"" + word.text_ + "\"");
    }
    return word.text_ == aFirst;
  }

  // Fails unless all words of the statement were read.
  ScriptResult<void> ExpectEnd() const
  {
    if (HasMore()) {
      return ErrorAt(statement_[next_],
                     "unexpected \"" + statement_[next_].text_ + "\" at the end of the statement");
    }
    return outcome::success();
  }

private:
  const ScriptStatement& statement_;
  std::size_t next_ = 0;
};

} // namespace latchslip
