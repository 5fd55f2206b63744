#include "LibScenario/Script.h"

#include <algorithm>

namespace latchslip {

ScriptResult<void>
ScriptRunner::RequireWorld(const ScriptWord& aWord)
{
  if (!world_) {
    return ErrorAt(aWord, "\"halls\" must come first");
  }
  return outcome::success();
}

ScriptResult<void>
ScriptRunner::AddService(ScriptReader& aReader)
{
  World::ServiceSettings settings;
  BOOST_OUTCOME_TRY(settings.name_, aReader.Text("the name of a service"));
  BOOST_OUTCOME_TRY(aReader.Literal("servers"));
  BOOST_OUTCOME_TRY(const auto servers, aReader.Number("the count of servers"));
  BOOST_OUTCOME_TRY(aReader.Literal("slots"));
  BOOST_OUTCOME_TRY(const auto slots, aReader.Number("the count of slots"));
  BOOST_OUTCOME_TRY(aReader.Literal("checks"));
  BOOST_OUTCOME_TRY(settings.checksGrants_, aReader.Choice("yes", "no"));
  BOOST_OUTCOME_TRY(aReader.Literal("time"));
  BOOST_OUTCOME_TRY(settings.time_, aReader.Span("the service time"));
  settings.servers_ = static_cast<std::size_t>(servers);
  settings.slots_ = static_cast<unsigned>(slots);
  world_->AddService(settings);
  return outcome::success();
}

ScriptResult<void>
ScriptRunner::AddGroup(ScriptReader& aReader)
{
  SharingIntent intent;
  BOOST_OUTCOME_TRY(intent.group_, aReader.Text("the name of a group"));
  BOOST_OUTCOME_TRY(aReader.Literal("on"));
  BOOST_OUTCOME_TRY(intent.service_, aReader.Text("the name of a service"));
  BOOST_OUTCOME_TRY(aReader.Literal("portion"));
  BOOST_OUTCOME_TRY(intent.portion_, aReader.Number("the portion"));
  BOOST_OUTCOME_TRY(aReader.Literal("class"));
  BOOST_OUTCOME_TRY(const auto interactive, aReader.Choice("interactive", "deferrable"));
  intent.latencyClass_ = interactive ? LatencyClass::Interactive : LatencyClass::Deferrable;
  intent.maxWaiting_ = 256;
  if (aReader.HasMore()) {
    BOOST_OUTCOME_TRY(aReader.Literal("waiting"));
    BOOST_OUTCOME_TRY(const auto waiting, aReader.Number("how many may wait"));
    intent.maxWaiting_ = static_cast<unsigned>(waiting);
  }
  world_->AddIntent(intent);
  return outcome::success();
}

ScriptResult<void>
ScriptRunner::AddLoad(ScriptReader& aReader)
{
  World::LoadSettings load;
  BOOST_OUTCOME_TRY(load.group_, aReader.Text("the name of a group"));
  BOOST_OUTCOME_TRY(load.service_, aReader.Text("the name of a service"));
  BOOST_OUTCOME_TRY(load.rate_, aReader.Number("the rate", "/s"));
  BOOST_OUTCOME_TRY(aReader.Literal("keys"));
  BOOST_OUTCOME_TRY(const auto keys, aReader.Number("the count of keys"));
  BOOST_OUTCOME_TRY(load.isRepeatable_, aReader.Choice("repeatable", "once"));
  load.keys_ = static_cast<std::size_t>(keys);
  while (aReader.HasMore()) {
    BOOST_OUTCOME_TRY(const auto isDeadline, aReader.Choice("deadline", "hot"));
    if (isDeadline) {
      BOOST_OUTCOME_TRY(load.deadline_, aReader.Span("the deadline"));
    } else {
      BOOST_OUTCOME_TRY(const auto share, aReader.Number("the hot key's share", "%"));
      load.hotShare_ = share / 100;
    }
  }
  world_->StartLoad(load);
  return outcome::success();
}

ScriptResult<void>
ScriptRunner::SendOne(ScriptReader& aReader)
{
  World::LoadSettings how;
  BOOST_OUTCOME_TRY(const auto id, aReader.Text("the id of a request"));
  BOOST_OUTCOME_TRY(aReader.Literal("at"));
  BOOST_OUTCOME_TRY(const auto instance, aReader.Text("the name of an instance"));
  BOOST_OUTCOME_TRY(how.group_, aReader.Text("the name of a group"));
  BOOST_OUTCOME_TRY(how.service_, aReader.Text("the name of a service"));
  BOOST_OUTCOME_TRY(const auto key, aReader.Text("a key"));
  BOOST_OUTCOME_TRY(how.isRepeatable_, aReader.Choice("repeatable", "once"));
  if (aReader.HasMore()) {
    BOOST_OUTCOME_TRY(aReader.Literal("deadline"));
    BOOST_OUTCOME_TRY(how.deadline_, aReader.Span("the deadline"));
  }
  world_->Send(id, instance, how, key);
  return outcome::success();
}

ScriptResult<void>
ScriptRunner::SetStore(ScriptReader& aReader)
{
  BOOST_OUTCOME_TRY(const auto word, aReader.Word("out, up, slow or lose"));
  auto& store = world_->Store();
  if (word.text_ == "out") {
    store.isOut_ = true;
  } else if (word.text_ == "up") {
    store = World::StoreFaults{};
  } else if (word.text_ == "slow") {
    BOOST_OUTCOME_TRY(store.delay_, aReader.Span("the delay"));
  } else if (word.text_ == "lose") {
    BOOST_OUTCOME_TRY(const auto count, aReader.Number("the count of answers"));
    store.answersToLose_ = static_cast<unsigned>(count);
  } else {
    return ErrorAt(word, "expected out, up, slow or lose and found \"" + word.text_ + "\"");
  }
  return outcome::success();
}

ScriptResult<void>
ScriptRunner::SetList(ScriptReader& aReader)
{
  BOOST_OUTCOME_TRY(const auto isLag, aReader.Choice("lag", "gone"));
  if (isLag) {
    BOOST_OUTCOME_TRY(const auto lag, aReader.Span("the lag"));
    world_->SetListLag(lag);
  } else {
    BOOST_OUTCOME_TRY(const auto name, aReader.Text("the name of an instance"));
    world_->ListGone(name);
  }
  return outcome::success();
}

ScriptResult<void>
ScriptRunner::Drain(ScriptReader& aReader)
{
  BOOST_OUTCOME_TRY(const auto word, aReader.Word("an instance or a server"));
  if (world_->Core(word.text_) != nullptr) {
    world_->DrainInstance(word.text_);
    return outcome::success();
  }
  return ErrorAt(word, "no instance \"" + word.text_ + "\" is up; servers drain by \"want\"");
}

ScriptResult<void>
ScriptRunner::Want(ScriptReader& aReader)
{
  BOOST_OUTCOME_TRY(const auto isPortion, aReader.Choice("portion", "draining"));
  if (isPortion) {
    BOOST_OUTCOME_TRY(const auto group, aReader.Word("the name of a group"));
    BOOST_OUTCOME_TRY(const auto service, aReader.Text("the name of a service"));
    BOOST_OUTCOME_TRY(const auto portion, aReader.Number("the portion"));
    for (auto& intent : world_->Wanted().intents_) {
      if (intent.group_ == group.text_ && intent.service_ == service) {
        intent.portion_ = portion;
        return outcome::success();
      }
    }
    return ErrorAt(group, "the group has no intent for this service");
  }
  BOOST_OUTCOME_TRY(const auto server, aReader.Word("the name of a server"));
  BOOST_OUTCOME_TRY(const auto drains, aReader.Choice("yes", "no"));
  for (auto& service : world_->Wanted().services_) {
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
ScriptRunner::Quantity(ScriptReader& aReader)
{
  BOOST_OUTCOME_TRY(const auto word, aReader.Word("a quantity"));
  const auto& name = word.text_;
  const auto& total = world_->Total();
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
    return static_cast<double>(world_->SlicesMoved());
  }
  if (name == "writes") {
    return static_cast<double>(world_->Table().Writes());
  }
  BOOST_OUTCOME_TRY(const auto subject, aReader.Text("what the quantity is of"));
  if (name == "gap-ms") {
    return ToMilliseconds(world_->LongestGap(subject));
  }
  if (name == "imbalance") {
    return world_->Imbalance(subject);
  }
  if (name == "share") {
    BOOST_OUTCOME_TRY(const auto service, aReader.Text("the name of a service"));
    return world_->ShareOf(subject, service);
  }
  if (name == "confirm") {
    return world_->StatusOfConfirm(subject);
  }
  if (name == "confirm-ms") {
    return ToMilliseconds(world_->TimeOfConfirm(subject));
  }
  if (name == "event") {
    const auto events = AllEvents();
    const auto found = std::find_if(events.begin(), events.end(), [&](const EventName& aEvent) {
      return aEvent.name_ == subject;
    });
    if (found == events.end()) {
      return ErrorAt(aReader.Last(), "no event is named \"" + subject + "\"");
    }
    return static_cast<double>(world_->EventCount(found->event_));
  }
  if (name == "stopped") {
    return world_->IsStopped(subject) ? 1 : 0;
  }
  const auto* core = world_->Core(subject);
  if (core == nullptr) {
    return ErrorAt(aReader.Last(),
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
  BOOST_OUTCOME_TRY(const auto id, aReader.Word("the id of a request"));
  BOOST_OUTCOME_TRY(const auto wanted, aReader.Word("an outcome"));
  const auto outcome = kRequestOutcomeNames.ValueOf(wanted.text_);
  if (!outcome) {
    return ErrorAt(wanted, "no outcome is named \"" + wanted.text_ + "\"");
  }
  const auto found = world_->OutcomeOf(id.text_);
  if (!found) {
    return ErrorAt(id, "the request \"" + id.text_ + "\" has no answer");
  }
  if (*found != *outcome) {
    return ErrorAt(wanted,
                   "the outcome is " + std::string(kRequestOutcomeNames.NameOf(*found)) + " for " +
                     std::string(kReasonNames.NameOf(world_->ReasonOf(id.text_))));
  }
  if (!aReader.HasMore()) {
    return outcome::success();
  }
  BOOST_OUTCOME_TRY(const auto reason, aReader.Word("a reason"));
  const auto given = kReasonNames.NameOf(world_->ReasonOf(id.text_));
  if (given != reason.text_) {
    return ErrorAt(reason, "the reason is " + std::string(given));
  }
  return outcome::success();
}

ScriptResult<void>
ScriptRunner::Expect(ScriptReader& aReader)
{
  BOOST_OUTCOME_TRY(const auto value, Quantity(aReader));
  BOOST_OUTCOME_TRY(const auto sign, aReader.Word("<, <=, =, >= or >"));
  BOOST_OUTCOME_TRY(const auto bound, aReader.Number("a number"));
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
ScriptRunner::CarrySetup(const std::string& aVerb, ScriptReader& aReader, bool& aIsKnown)
{
  aIsKnown = true;
  if (aVerb == "instances") {
    BOOST_OUTCOME_TRY(const auto count, aReader.Number("the count of instances"));
    for (int number = 1; number <= static_cast<int>(count); ++number) {
      world_->AddInstance("i" + std::to_string(number));
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
    BOOST_OUTCOME_TRY(const auto churn, aReader.Choice("churn-first", "unavailability-first"));
    world_->SetProfile(churn ? PlacementProfile::ChurnFirst
                             : PlacementProfile::UnavailabilityFirst);
    return outcome::success();
  }
  if (aVerb == "start") {
    return world_->Start() ? ScriptResult<void>(outcome::success())
                           : ErrorAt(aReader.Last(), "the fleet did not come up");
  }
  aIsKnown = false;
  return outcome::success();
}

ScriptResult<void>
ScriptRunner::CarryFault(const std::string& aVerb, ScriptReader& aReader, bool& aIsKnown)
{
  aIsKnown = true;
  if (aVerb == "store") {
    return SetStore(aReader);
  }
  if (aVerb == "list") {
    return SetList(aReader);
  }
  const bool isFault = aVerb == "kill" || aVerb == "lose" || aVerb == "break" || aVerb == "shed" ||
                       aVerb == "restart" || aVerb == "freeze" || aVerb == "thaw" ||
                       aVerb == "cut" || aVerb == "heal";
  if (!isFault) {
    aIsKnown = false;
    return outcome::success();
  }
  BOOST_OUTCOME_TRY(const auto word, aReader.Word("an instance, a server or store"));
  const auto& name = word.text_;
  if (aVerb == "heal" && name == "all") {
    world_->HealAll();
    return outcome::success();
  }
  if (aVerb == "cut" || aVerb == "heal") {
    BOOST_OUTCOME_TRY(const auto other, aReader.Text("the other end"));
    aVerb == "cut" ? world_->Cut(name, other) : world_->Heal(name, other);
    return outcome::success();
  }
  const auto instances = world_->InstanceNames();
  const bool isInstance = std::find(instances.begin(), instances.end(), name) != instances.end();
  bool isServer = false;
  for (const auto& service : world_->Wanted().services_) {
    isServer = isServer || service.FindServer(name) != nullptr;
  }
  if (!isInstance && !isServer) {
    return ErrorAt(word, "there is no instance or server \"" + name + "\"");
  }
  if (aVerb == "shed") {
    BOOST_OUTCOME_TRY(const auto sheds, aReader.Choice("on", "off"));
    if (!isServer) {
      return ErrorAt(word, "only servers shed");
    }
    world_->SetShedding(name, sheds);
  } else if (aVerb == "freeze") {
    world_->Freeze(name);
  } else if (aVerb == "thaw") {
    world_->Thaw(name);
  } else if (aVerb == "break") {
    world_->BreakConnections(name);
  } else if (aVerb == "restart") {
    isInstance ? world_->RestartInstance(name) : world_->RestartServer(name);
  } else if (isInstance) {
    world_->KillInstance(name);
  } else {
    world_->KillServer(name, aVerb == "lose");
  }
  return outcome::success();
}

ScriptResult<void>
ScriptRunner::CarryAction(const std::string& aVerb, ScriptReader& aReader, bool& aIsKnown)
{
  aIsKnown = true;
  if (aVerb == "load") {
    return AddLoad(aReader);
  }
  if (aVerb == "send") {
    return SendOne(aReader);
  }
  if (aVerb == "quiet") {
    world_->StopLoads();
    return outcome::success();
  }
  if (aVerb == "forget") {
    world_->ForgetGaps();
    return outcome::success();
  }
  if (aVerb == "advance") {
    BOOST_OUTCOME_TRY(const auto span, aReader.Span("a time"));
    world_->Advance(span);
    return outcome::success();
  }
  if (aVerb == "drain") {
    return Drain(aReader);
  }
  if (aVerb == "want") {
    return Want(aReader);
  }
  if (aVerb == "plan" || aVerb == "confirm") {
    BOOST_OUTCOME_TRY(const auto plan, aReader.Text("the name of a plan"));
    BOOST_OUTCOME_TRY(aReader.Literal("at"));
    BOOST_OUTCOME_TRY(const auto instance, aReader.Word("the name of an instance"));
    if (world_->Core(instance.text_) == nullptr) {
      return ErrorAt(instance, "no instance \"" + instance.text_ + "\" is up");
    }
    aVerb == "plan" ? world_->Plan(plan, instance.text_, world_->Wanted())
                    : world_->Confirm(plan, instance.text_);
    return outcome::success();
  }
  if (aVerb == "outcome") {
    return ExpectOutcome(aReader);
  }
  if (aVerb == "expect") {
    return Expect(aReader);
  }
  aIsKnown = false;
  return outcome::success();
}

ScriptResult<void>
ScriptRunner::Carry(const ScriptStatement& aStatement)
{
  ScriptReader reader(aStatement);
  BOOST_OUTCOME_TRY(const auto verb, reader.Word("a statement"));
  if (verb.text_ == "seed") {
    BOOST_OUTCOME_TRY(const auto seed, reader.Number("the seed"));
    seed_ = seed_ == 0 ? static_cast<std::uint64_t>(seed) : seed_;
    return reader.End();
  }
  if (verb.text_ == "halls") {
    std::vector<std::string> halls;
    while (reader.HasMore()) {
      BOOST_OUTCOME_TRY(auto hall, reader.Text("a hall"));
      halls.push_back(std::move(hall));
    }
    if (halls.empty()) {
      return ErrorAt(verb, "at least one hall must be named");
    }
    world_ = std::make_unique<World>(seed_, std::move(halls));
    return outcome::success();
  }
  BOOST_OUTCOME_TRY(RequireWorld(verb));
  bool isKnown = false;
  BOOST_OUTCOME_TRY(CarrySetup(verb.text_, reader, isKnown));
  if (!isKnown) {
    BOOST_OUTCOME_TRY(CarryFault(verb.text_, reader, isKnown));
  }
  if (!isKnown) {
    BOOST_OUTCOME_TRY(CarryAction(verb.text_, reader, isKnown));
  }
  if (!isKnown) {
    return ErrorAt(verb, "no statement is named \"" + verb.text_ + "\"");
  }
  BOOST_OUTCOME_TRY(reader.End());
  if (!world_->Violations().empty()) {
    return ErrorAt(verb, "broken: " + world_->Violations().front());
  }
  return outcome::success();
}

ScriptResult<void>
ScriptRunner::Run(std::string_view aText, std::uint64_t aSeed)
{
  ScriptRunner runner(aSeed);
  for (const auto& statement : SplitScript(aText)) {
    BOOST_OUTCOME_TRY(runner.Carry(statement));
  }
  return outcome::success();
}

} // namespace latchslip
