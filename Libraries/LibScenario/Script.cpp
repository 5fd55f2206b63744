#include "LibScenario/Script.h"

#include <algorithm>

namespace latchslip {

ScriptResult<void>
ScriptRunner::RequireFleet(const ScriptWord& aWord)
{
  if (!fleet_) {
    return ErrorAt(aWord, "\"halls\" must come first");
  }
  return outcome::success();
}

ScriptResult<void>
ScriptRunner::AddService(ScriptReader& aReader)
{
  SimulatedFleet::ServiceSettings settings;
  BOOST_OUTCOME_TRY(settings.name_, aReader.ReadText("the name of a service"));
  BOOST_OUTCOME_TRY(aReader.ReadKeyword("servers"));
  BOOST_OUTCOME_TRY(const auto servers, aReader.ReadNumber("the count of servers"));
  BOOST_OUTCOME_TRY(aReader.ReadKeyword("slots"));
  BOOST_OUTCOME_TRY(const auto slots, aReader.ReadNumber("the count of slots"));
  BOOST_OUTCOME_TRY(aReader.ReadKeyword("checks"));
  BOOST_OUTCOME_TRY(settings.checksGrants_, aReader.ReadChoice("yes", "no"));
  BOOST_OUTCOME_TRY(aReader.ReadKeyword("time"));
  BOOST_OUTCOME_TRY(settings.serviceTime_, aReader.ReadDuration("the service time"));
  settings.servers_ = static_cast<std::size_t>(servers);
  settings.slots_ = static_cast<unsigned>(slots);
  fleet_->AddService(settings);
  return outcome::success();
}

ScriptResult<void>
ScriptRunner::AddGroup(ScriptReader& aReader)
{
  SharingIntent intent;
  BOOST_OUTCOME_TRY(intent.group_, aReader.ReadText("the name of a group"));
  BOOST_OUTCOME_TRY(aReader.ReadKeyword("on"));
  BOOST_OUTCOME_TRY(intent.service_, aReader.ReadText("the name of a service"));
  BOOST_OUTCOME_TRY(aReader.ReadKeyword("portion"));
  BOOST_OUTCOME_TRY(intent.portion_, aReader.ReadNumber("the portion"));
  BOOST_OUTCOME_TRY(aReader.ReadKeyword("class"));
  BOOST_OUTCOME_TRY(const auto interactive, aReader.ReadChoice("interactive", "deferrable"));
  intent.latencyClass_ = interactive ? LatencyClass::Interactive : LatencyClass::Deferrable;
  intent.maxWaiting_ = 256;
  if (aReader.HasMore()) {
    BOOST_OUTCOME_TRY(aReader.ReadKeyword("waiting"));
    BOOST_OUTCOME_TRY(const auto waiting, aReader.ReadNumber("how many may wait"));
    intent.maxWaiting_ = static_cast<unsigned>(waiting);
  }
  fleet_->AddIntent(intent);
  return outcome::success();
}

ScriptResult<void>
ScriptRunner::AddLoad(ScriptReader& aReader)
{
  SimulatedFleet::LoadSettings load;
  BOOST_OUTCOME_TRY(load.group_, aReader.ReadText("the name of a group"));
  BOOST_OUTCOME_TRY(load.service_, aReader.ReadText("the name of a service"));
  BOOST_OUTCOME_TRY(load.rate_, aReader.ReadNumber("the rate", "/s"));
  BOOST_OUTCOME_TRY(aReader.ReadKeyword("keys"));
  BOOST_OUTCOME_TRY(const auto keys, aReader.ReadNumber("the count of keys"));
  BOOST_OUTCOME_TRY(load.isRepeatable_, aReader.ReadChoice("repeatable", "once"));
  load.keys_ = static_cast<std::size_t>(keys);
  while (aReader.HasMore()) {
    BOOST_OUTCOME_TRY(const auto isDeadline, aReader.ReadChoice("deadline", "hot"));
    if (isDeadline) {
      BOOST_OUTCOME_TRY(load.deadline_, aReader.ReadDuration("the deadline"));
    } else {
      BOOST_OUTCOME_TRY(const auto share, aReader.ReadNumber("the hot key's share", "%"));
      load.hotShare_ = share / 100;
    }
  }
  fleet_->StartLoad(load);
  return outcome::success();
}

ScriptResult<void>
ScriptRunner::SendRequest(ScriptReader& aReader)
{
  SimulatedFleet::LoadSettings load;
  BOOST_OUTCOME_TRY(const auto id, aReader.ReadText("the id of a request"));
  BOOST_OUTCOME_TRY(aReader.ReadKeyword("at"));
  BOOST_OUTCOME_TRY(const auto instance, aReader.ReadText("the name of an instance"));
  BOOST_OUTCOME_TRY(load.group_, aReader.ReadText("the name of a group"));
  BOOST_OUTCOME_TRY(load.service_, aReader.ReadText("the name of a service"));
  BOOST_OUTCOME_TRY(const auto key, aReader.ReadText("a key"));
  BOOST_OUTCOME_TRY(load.isRepeatable_, aReader.ReadChoice("repeatable", "once"));
  if (aReader.HasMore()) {
    BOOST_OUTCOME_TRY(aReader.ReadKeyword("deadline"));
    BOOST_OUTCOME_TRY(load.deadline_, aReader.ReadDuration("the deadline"));
  }
  fleet_->Send(id, instance, load, key);
  return outcome::success();
}

ScriptResult<void>
ScriptRunner::SetStoreFault(ScriptReader& aReader)
{
  BOOST_OUTCOME_TRY(const auto word, aReader.ReadWord("out, up, slow or lose"));
  auto& store = fleet_->Store();
  if (word.text_ == "out") {
    store.isUnavailable_ = true;
  } else if (word.text_ == "up") {
    store = SimulatedFleet::StoreFaults{};
  } else if (word.text_ == "slow") {
    BOOST_OUTCOME_TRY(store.delay_, aReader.ReadDuration("the delay"));
  } else if (word.text_ == "lose") {
    BOOST_OUTCOME_TRY(const auto count, aReader.ReadNumber("the count of answers"));
    store.answersToLose_ = static_cast<unsigned>(count);
  } else {
    return ErrorAt(word, "expected out, up, slow or lose and found \"" + word.text_ + "\"");
  }
  return outcome::success();
}

ScriptResult<void>
ScriptRunner::ChangeInstanceList(ScriptReader& aReader)
{
  BOOST_OUTCOME_TRY(const auto isLag, aReader.ReadChoice("lag", "gone"));
  if (isLag) {
    BOOST_OUTCOME_TRY(const auto lag, aReader.ReadDuration("the lag"));
    fleet_->SetListLag(lag);
  } else {
    BOOST_OUTCOME_TRY(const auto name, aReader.ReadText("the name of an instance"));
    fleet_->RemoveFromList(name);
  }
  return outcome::success();
}

ScriptResult<void>
ScriptRunner::ExecuteDrain(ScriptReader& aReader)
{
  BOOST_OUTCOME_TRY(const auto word, aReader.ReadWord("an instance or a server"));
  if (fleet_->Core(word.text_) != nullptr) {
    fleet_->DrainInstance(word.text_);
    return outcome::success();
  }
  return ErrorAt(word, "no instance \"" + word.text_ + "\" is up; servers drain by \"want\"");
}

ScriptResult<void>
ScriptRunner::SetDesired(ScriptReader& aReader)
{
  BOOST_OUTCOME_TRY(const auto isPortion, aReader.ReadChoice("portion", "draining"));
  if (isPortion) {
    BOOST_OUTCOME_TRY(const auto group, aReader.ReadWord("the name of a group"));
    BOOST_OUTCOME_TRY(const auto service, aReader.ReadText("the name of a service"));
    BOOST_OUTCOME_TRY(const auto portion, aReader.ReadNumber("the portion"));
    for (auto& intent : fleet_->DesiredDeclaration().intents_) {
      if (intent.group_ == group.text_ && intent.service_ == service) {
        intent.portion_ = portion;
        return outcome::success();
      }
    }
    return ErrorAt(group, "the group has no intent for this service");
  }
  BOOST_OUTCOME_TRY(const auto server, aReader.ReadWord("the name of a server"));
  BOOST_OUTCOME_TRY(const auto drains, aReader.ReadChoice("yes", "no"));
  for (auto& service : fleet_->DesiredDeclaration().services_) {
    for (auto& declared : service.servers_) {
      if (declared.name_ == server.text_) {
        declared.draining_ = drains;
        return outcome::success();
      }
    }
  }
  return ErrorAt(server, "no server \"" + server.text_ + "\" is declared");
}

ScriptResult<double>
ScriptRunner::ReadQuantity(ScriptReader& aReader)
{
  BOOST_OUTCOME_TRY(const auto word, aReader.ReadWord("a quantity"));
  const auto& name = word.text_;
  const auto& total = fleet_->Total();
  const auto ended = std::max<std::size_t>(total.answered_ + total.notRun_ + total.unknown_, 1);
  if (name == "answered%") {
    return 100.0 * static_cast<double>(total.answered_) / static_cast<double>(ended);
  }
  if (name == "answered") {
    return static_cast<double>(total.answered_);
  }
  if (name == "not-run") {
    return static_cast<double>(total.notRun_);
  }
  if (name == "unknown") {
    return static_cast<double>(total.unknown_);
  }
  if (name == "moved") {
    return static_cast<double>(fleet_->SlicesMoved());
  }
  if (name == "writes") {
    return static_cast<double>(fleet_->Table().Writes());
  }
  BOOST_OUTCOME_TRY(const auto subject, aReader.ReadText("what the quantity is of"));
  if (name == "gap-ms") {
    return ToMilliseconds(fleet_->LongestGap(subject));
  }
  if (name == "imbalance") {
    return fleet_->Imbalance(subject);
  }
  if (name == "share") {
    BOOST_OUTCOME_TRY(const auto service, aReader.ReadText("the name of a service"));
    return fleet_->ShareOf(subject, service);
  }
  if (name == "confirm") {
    return fleet_->ConfirmationStatus(subject);
  }
  if (name == "confirm-ms") {
    return ToMilliseconds(fleet_->ConfirmationTime(subject));
  }
  if (name == "event") {
    const auto events = AllEvents();
    const auto found = std::find_if(events.begin(), events.end(), [&](const EventName& aEvent) {
      return aEvent.name_ == subject;
    });
    if (found == events.end()) {
      return ErrorAt(aReader.LastWord(), "no event is named \"" + subject + "\"");
    }
    return static_cast<double>(fleet_->EventCount(found->event_));
  }
  if (name == "stopped") {
    return fleet_->IsStopped(subject) ? 1 : 0;
  }
  const auto* core = fleet_->Core(subject);
  if (core == nullptr) {
    return ErrorAt(aReader.LastWord(),
                   "no instance \"" + subject + "\" is up, or no quantity is named \"" + name +
                     "\"");
  }
  if (name == "held") {
    return static_cast<double>(core->Dispatch().HeldCount());
  }
  if (name == "revision") {
    return static_cast<double>(core->CurrentView().Revision());
  }
  return ErrorAt(word, "no quantity is named \"" + name + "\"");
}

ScriptResult<void>
ScriptRunner::ExpectOutcome(ScriptReader& aReader)
{
  BOOST_OUTCOME_TRY(const auto id, aReader.ReadWord("the id of a request"));
  BOOST_OUTCOME_TRY(const auto expected, aReader.ReadWord("an outcome"));
  const auto outcome = kRequestOutcomeNames.ValueOf(expected.text_);
  if (!outcome) {
    return ErrorAt(expected, "no outcome is named \"" + expected.text_ + "\"");
  }
  const auto found = fleet_->OutcomeOf(id.text_);
  if (!found) {
    return ErrorAt(id, "the request \"" + id.text_ + "\" has no answer");
  }
  if (*found != *outcome) {
    return ErrorAt(expected,
                   "the outcome is " + std::string(kRequestOutcomeNames.NameOf(*found)) + " for " +
                     std::string(kReasonNames.NameOf(fleet_->ReasonOf(id.text_))));
  }
  if (!aReader.HasMore()) {
    return outcome::success();
  }
  BOOST_OUTCOME_TRY(const auto reason, aReader.ReadWord("a reason"));
  const auto given = kReasonNames.NameOf(fleet_->ReasonOf(id.text_));
  if (given != reason.text_) {
    return ErrorAt(reason, "the reason is " + std::string(given));
  }
  return outcome::success();
}

ScriptResult<void>
ScriptRunner::ExpectQuantity(ScriptReader& aReader)
{
  BOOST_OUTCOME_TRY(const auto value, ReadQuantity(aReader));
  BOOST_OUTCOME_TRY(const auto sign, aReader.ReadWord("<, <=, =, >= or >"));
  BOOST_OUTCOME_TRY(const auto bound, aReader.ReadNumber("a number"));
  const bool holds = sign.text_ == "<"    ? value < bound
                     : sign.text_ == "<=" ? value <= bound
                     : sign.text_ == "="  ? value == bound
                     : sign.text_ == ">=" ? value >= bound
                     : sign.text_ == ">"  ? value > bound
                                          : false;
  if (!holds) {
    return ErrorAt(sign, "it is " + std::to_string(value));
  }
  return outcome::success();
}

ScriptResult<void>
ScriptRunner::ExecuteSetup(const std::string& aVerb, ScriptReader& aReader, bool& aIsKnown)
{
  aIsKnown = true;
  if (aVerb == "instances") {
    BOOST_OUTCOME_TRY(const auto count, aReader.ReadNumber("the count of instances"));
    for (int number = 1; number <= static_cast<int>(count); ++number) {
      fleet_->AddInstance("i" + std::to_string(number));
    }
    return outcome::success();
  }
  if (aVerb == "service") {
    return AddService(aReader);
  }
  if (aVerb == "group") {
    return AddGroup(aReader);
  }
  if (aVerb == "profile") {
    BOOST_OUTCOME_TRY(const auto churn, aReader.ReadChoice("churn-first", "unavailability-first"));
    fleet_->SetProfile(churn ? PlacementProfile::ChurnFirst
                             : PlacementProfile::UnavailabilityFirst);
    return outcome::success();
  }
  if (aVerb == "start") {
    return fleet_->Start() ? ScriptResult<void>(outcome::success())
                           : ErrorAt(aReader.LastWord(), "the fleet did not come up");
  }
  aIsKnown = false;
  return outcome::success();
}

ScriptResult<void>
ScriptRunner::ExecuteFault(const std::string& aVerb, ScriptReader& aReader, bool& aIsKnown)
{
  aIsKnown = true;
  if (aVerb == "store") {
    return SetStoreFault(aReader);
  }
  if (aVerb == "list") {
    return ChangeInstanceList(aReader);
  }
  const bool isFault = aVerb == "kill" || aVerb == "lose" || aVerb == "break" || aVerb == "shed" ||
                       aVerb == "restart" || aVerb == "freeze" || aVerb == "thaw" ||
                       aVerb == "cut" || aVerb == "heal";
  if (!isFault) {
    aIsKnown = false;
    return outcome::success();
  }
  BOOST_OUTCOME_TRY(const auto word, aReader.ReadWord("an instance, a server or store"));
  const auto& name = word.text_;
  if (aVerb == "heal" && name == "all") {
    fleet_->HealAll();
    return outcome::success();
  }
  if (aVerb == "cut" || aVerb == "heal") {
    BOOST_OUTCOME_TRY(const auto other, aReader.ReadText("the other end"));
    aVerb == "cut" ? fleet_->Partition(name, other) : fleet_->Heal(name, other);
    return outcome::success();
  }
  const auto instances = fleet_->InstanceNames();
  const bool isInstance = std::find(instances.begin(), instances.end(), name) != instances.end();
  bool isServer = false;
  for (const auto& service : fleet_->DesiredDeclaration().services_) {
    isServer = isServer || service.FindServer(name) != nullptr;
  }
  if (!isInstance && !isServer) {
    return ErrorAt(word, "there is no instance or server \"" + name + "\"");
  }
  if (aVerb == "shed") {
    BOOST_OUTCOME_TRY(const auto sheds, aReader.ReadChoice("on", "off"));
    if (!isServer) {
      return ErrorAt(word, "only servers shed");
    }
    fleet_->SetShedding(name, sheds);
  } else if (aVerb == "freeze") {
    fleet_->Freeze(name);
  } else if (aVerb == "thaw") {
    fleet_->Thaw(name);
  } else if (aVerb == "break") {
    fleet_->BreakConnections(name);
  } else if (aVerb == "restart") {
    isInstance ? fleet_->RestartInstance(name) : fleet_->RestartServer(name);
  } else if (isInstance) {
    fleet_->KillInstance(name);
  } else {
    fleet_->KillServer(name, aVerb == "lose");
  }
  return outcome::success();
}

ScriptResult<void>
ScriptRunner::ExecuteAction(const std::string& aVerb, ScriptReader& aReader, bool& aIsKnown)
{
  aIsKnown = true;
  if (aVerb == "load") {
    return AddLoad(aReader);
  }
  if (aVerb == "send") {
    return SendRequest(aReader);
  }
  if (aVerb == "quiet") {
    fleet_->StopLoads();
    return outcome::success();
  }
  if (aVerb == "forget") {
    fleet_->ResetMeasurements();
    return outcome::success();
  }
  if (aVerb == "advance") {
    BOOST_OUTCOME_TRY(const auto span, aReader.ReadDuration("a time"));
    fleet_->Advance(span);
    return outcome::success();
  }
  if (aVerb == "drain") {
    return ExecuteDrain(aReader);
  }
  if (aVerb == "want") {
    return SetDesired(aReader);
  }
  if (aVerb == "plan" || aVerb == "confirm") {
    BOOST_OUTCOME_TRY(const auto plan, aReader.ReadText("the name of a plan"));
    BOOST_OUTCOME_TRY(aReader.ReadKeyword("at"));
    BOOST_OUTCOME_TRY(const auto instance, aReader.ReadWord("the name of an instance"));
    if (fleet_->Core(instance.text_) == nullptr) {
      return ErrorAt(instance, "no instance \"" + instance.text_ + "\" is up");
    }
    aVerb == "plan" ? fleet_->Plan(plan, instance.text_, fleet_->DesiredDeclaration())
                    : fleet_->Confirm(plan, instance.text_);
    return outcome::success();
  }
  if (aVerb == "outcome") {
    return ExpectOutcome(aReader);
  }
  if (aVerb == "expect") {
    return ExpectQuantity(aReader);
  }
  aIsKnown = false;
  return outcome::success();
}

ScriptResult<void>
ScriptRunner::Execute(const ScriptStatement& aStatement)
{
  ScriptReader reader(aStatement);
  BOOST_OUTCOME_TRY(const auto verb, reader.ReadWord("a statement"));
  if (verb.text_ == "seed") {
    BOOST_OUTCOME_TRY(const auto seed, reader.ReadNumber("the seed"));
    seed_ = seed_ == 0 ? static_cast<std::uint64_t>(seed) : seed_;
    return reader.ExpectEnd();
  }
  if (verb.text_ == "halls") {
    std::vector<std::string> halls;
    while (reader.HasMore()) {
      BOOST_OUTCOME_TRY(auto hall, reader.ReadText("a hall"));
      halls.push_back(std::move(hall));
    }
    if (halls.empty()) {
      return ErrorAt(verb, "at least one hall must be named");
    }
    fleet_ = std::make_unique<SimulatedFleet>(seed_, std::move(halls));
    return outcome::success();
  }
  BOOST_OUTCOME_TRY(RequireFleet(verb));
  bool isKnown = false;
  BOOST_OUTCOME_TRY(ExecuteSetup(verb.text_, reader, isKnown));
  if (!isKnown) {
    BOOST_OUTCOME_TRY(ExecuteFault(verb.text_, reader, isKnown));
  }
  if (!isKnown) {
    BOOST_OUTCOME_TRY(ExecuteAction(verb.text_, reader, isKnown));
  }
  if (!isKnown) {
    return ErrorAt(verb, "no statement is named \"" + verb.text_ + "\"");
  }
  BOOST_OUTCOME_TRY(reader.ExpectEnd());
  if (!fleet_->Violations().empty()) {
    return ErrorAt(verb, "broken: " + fleet_->Violations().front());
  }
  return outcome::success();
}

ScriptResult<void>
ScriptRunner::Run(std::string_view aText, std::uint64_t aSeed)
{
  ScriptRunner runner(aSeed);
  for (const auto& statement : SplitScript(aText)) {
    BOOST_OUTCOME_TRY(runner.Execute(statement));
  }
  return outcome::success();
}

} // namespace latchslip
