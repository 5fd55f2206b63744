#pragma once

#include "LibScenario/ScriptReader.h"
#include "LibScenario/World.h"

#include <memory>
#include <string>
#include <string_view>

namespace latchslip {

// Interpreter of the scenario language, in which each line is one statement and "#" begins a
// comment. docs/SCENARIOS.md lists the statements. Runs one scenario against a simulated fleet and
// stops at the first statement that is invalid, whose expectation doesn't hold, or after which an
// invariant is violated.
class ScriptRunner
{
public:
  // Runs a whole scenario. An aSeed other than 0 overrides the seed of the script. The error has
  // the position of the statement that failed.
  static ScriptResult<void> Run(std::string_view aText, std::uint64_t aSeed);

private:
  explicit ScriptRunner(std::uint64_t aSeed)
    : seed_(aSeed)
  {
  }

  ScriptResult<void> Carry(const ScriptStatement& aStatement);
  // Each of these executes the statements of one kind and sets aIsKnown to whether aVerb is one.
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
  // Reads the name of a quantity, with its arguments, and returns its current value.
  ScriptResult<double> Quantity(ScriptReader& aReader);
  ScriptResult<void> RequireWorld(const ScriptWord& aWord);

  std::uint64_t seed_;
  std::unique_ptr<World> world_;
};

} // namespace latchslip
