#pragma once

#include "LibScenario/ScriptReader.h"
#include "LibScenario/World.h"

#include <memory>
#include <string>
#include <string_view>

namespace latchslip {

// The small language of scenarios: one statement a line, "#" begins a comment.
// docs/SCENARIOS.md lists the statements.

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

  ScriptResult<void> Carry(const ScriptStatement& aStatement);
  ScriptResult<void> CarrySetup(const std::string& aVerb, ScriptReader& aReader, bool& aIsKnown);
  ScriptResult<void> CarryFault(const std::string& aVerb, ScriptReader& aReader, bool& aIsKnown);
  ScriptResult<void> CarryAction(const std::string& aVerb, ScriptReader& aReader, bool& aIsKnown);
  ScriptResult<void> AddService(ScriptReader& aReader);
  ScriptResult<void> AddGroup(ScriptReader& aReader);
  ScriptResult<void> AddLoad(ScriptReader& aReader);
  ScriptResult<void> SendOne(ScriptReader& aReader);
  ScriptResult<void> SetStore(ScriptReader& aReader);
  ScriptResult<void> SetList(ScriptReader& aReader);
  ScriptResult<void> Drain(ScriptReader& aReader);
  ScriptResult<void> Want(ScriptReader& aReader);
  ScriptResult<void> Expect(ScriptReader& aReader);
  ScriptResult<void> ExpectOutcome(ScriptReader& aReader);
  ScriptResult<double> Quantity(ScriptReader& aReader);
  ScriptResult<void> RequireWorld(const ScriptWord& aWord);

  std::uint64_t seed_;
  std::unique_ptr<World> world_;
};

} // namespace latchslip
