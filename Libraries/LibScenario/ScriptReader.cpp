#include "LibScenario/ScriptReader.h"

#include <algorithm>

namespace latchslip {

ScriptError
ErrorAt(const ScriptWord& aWord, const std::string& aProblem)
{
  return { aWord.line_, aWord.column_, aProblem };
}

std::vector<ScriptStatement>
SplitScript(std::string_view aText)
{
  std::vector<ScriptStatement> statements;
  std::size_t line = 0;
  std::size_t start = 0;
  while (start <= aText.size()) {
    const auto end = std::min(aText.find('\n', start), aText.size());
    auto row = aText.substr(start, end - start);
    row = row.substr(0, row.find('#'));
    ++line;
    ScriptStatement statement;
    std::size_t position = 0;
    while ((position = row.find_first_not_of(" \t\r", position)) != std::string_view::npos) {
      const auto stop = std::min(row.find_first_of(" \t\r", position), row.size());
      statement.push_back(
        { std::string(row.substr(position, stop - position)), line, position + 1 });
      position = stop;
    }
    if (!statement.empty()) {
      statements.push_back(std::move(statement));
    }
    start = end + 1;
  }
  return statements;
}

} // namespace latchslip
