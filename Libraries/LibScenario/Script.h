#pragma once

#include "LibBase/Result.h"
#include "LibScenario/World.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace latchslip {

// The small language of scenarios: one statement a line, "#" begins a comment.
// docs/SCENARIOS.md lists the statements.

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

// A word of a statement and where it stands.
struct ScriptWord
{
  std::string text_;
  std::size_t line_ = 0;
  std::size_t column_ = 0;
};
using ScriptStatement = std::vector<ScriptWord>;

std::vector<ScriptStatement>
SplitScript(std::string_view aText);

// Runs one scenario. The error tells the first statement that could not be
// carried out, the first expectation that did not hold, or the first statement
// after which an invariant was broken.
class ScriptRunner
{
public:
  // aSeed replaces the seed that the script names, when it is not 0.
  static ScriptResult<void> Run(std::string_view aText, std::uint64_t aSeed);

private:
  explicit ScriptRunner(std::uint64_t aSeed)
    : seed_(aSeed)
  {
  }

  // The words of one statement, taken from the left.
  class Reader;

  ScriptResult<void> Carry(const ScriptStatement& aStatement);
  ScriptResult<void> CarrySetup(const std::string& aVerb, Reader& aReader, bool& aIsKnown);
  ScriptResult<void> CarryFault(const std::string& aVerb, Reader& aReader, bool& aIsKnown);
  ScriptResult<void> CarryAction(const std::string& aVerb, Reader& aReader, bool& aIsKnown);
  ScriptResult<void> AddService(Reader& aReader);
  ScriptResult<void> AddGroup(Reader& aReader);
  ScriptResult<void> AddLoad(Reader& aReader);
  ScriptResult<void> SendOne(Reader& aReader);
  ScriptResult<void> SetStore(Reader& aReader);
  ScriptResult<void> SetList(Reader& aReader);
  ScriptResult<void> Drain(Reader& aReader);
  ScriptResult<void> Want(Reader& aReader);
  ScriptResult<void> Expect(Reader& aReader);
  ScriptResult<void> ExpectOutcome(Reader& aReader);
  ScriptResult<double> Quantity(Reader& aReader);
  ScriptResult<void> RequireWorld(const ScriptWord& aWord);

  std::uint64_t seed_;
  std::unique_ptr<World> world_;
};

} // namespace latchslip
