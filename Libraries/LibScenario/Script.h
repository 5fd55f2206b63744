#pragma once

#include "LibScenario/ScriptReader.h"
#include "LibScenario/SimulatedFleet.h"

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

  ScriptResult<void> Execute(const ScriptStatement& aStatement);
  // Each of these executes the statements of one kind and sets aIsKnown to whether aVerb is one.
  ScriptResult<void> ExecuteSetup(const std::string& aVerb, ScriptReader& aReader, bool& aIsKnown);
  ScriptResult<void> ExecuteFault(const std::string& aVerb, ScriptReader& aReader, bool& aIsKnown);
  ScriptResult<void> ExecuteAction(const std::string& aVerb, ScriptReader& aReader, bool& aIsKnown);
  ScriptResult<void> AddService(ScriptReader& aReader);
  ScriptResult<void> AddGroup(ScriptReader& aReader);
  ScriptResult<void> AddLoad(ScriptReader& aReader);
  ScriptResult<void> SendRequest(ScriptReader& aReader);
  ScriptResult<void> SetStoreFault(ScriptReader& aReader);
  ScriptResult<void> ChangeInstanceList(ScriptReader& aReader);
  ScriptResult<void> ExecuteDrain(ScriptReader& aReader);
  ScriptResult<void> SetDesired(ScriptReader& aReader);
  ScriptResult<void> ExpectQuantity(ScriptReader& aReader);
  ScriptResult<void> ExpectOutcome(ScriptReader& aReader);
  // Reads the name of a quantity, with its arguments, and returns its current value.
  ScriptResult<double> ReadQuantity(ScriptReader& aReader);
  ScriptResult<void> RequireFleet(const ScriptWord& aWord);

  std::uint64_t seed_;
  std::unique_ptr<SimulatedFleet> fleet_;
};

} // namespace latchslip
