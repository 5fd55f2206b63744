#include "KeyedUpstream.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cstdlib>

namespace review {

namespace {

constexpr int kKeys = 65536;

} // namespace

KeyedUpstream::KeyedUpstream(Settings aSettings,
                             Store& aStore,
                             Record& aRecord,
                             KeyedUpstreamObserver& aObserver)
  : settings_(std::move(aSettings))
  , store_(aStore)
  , record_(aRecord)
  , observer_(aObserver)
  , address_("127.0.0.1:" + std::to_string(FreePort({ "127.0.0.1" })))
  , fences_(kKeys, 0)
  , until_(kKeys, 0)
  , random_(settings_.seed_)
{
  listener_ =
    std::make_unique<Listener>(address_, [this](Connection& aConnection) { Serve(aConnection); });
  Write("ready");
}

void
KeyedUpstream::Write(const std::string& aState)
{
  store_.Put("servers",
             settings_.id_,
             ServerRow(settings_.service_, address_, settings_.slots_, aState, ++sequence_));
}

void
KeyedUpstream::Leave()
{
  isLeaving_ = true;
  Write("draining");
}

void
KeyedUpstream::LeaveAfterRenewals(bool aWithExtra)
{
  const std::lock_guard lock(mutex_);
  leavesAfterRenewals_ = true;
  sendsExtraAtLeave_ = aWithExtra;
}

bool
KeyedUpstream::IsLastRenewal(int aFirst)
{
  // Renewals of one upstream follow each other closely, and then pause.
  constexpr double kPauseS = 0.4;
  if (Now() - renewedAt_ > kPauseS) {
    renewed_.clear();
  }
  renewedAt_ = Now();
  ranges_.insert(aFirst);
  renewed_.insert(aFirst);
  return leavesAfterRenewals_ && renewed_ == ranges_;
}

bool
KeyedUpstream::Draw(double aShare)
{
  return aShare > 0 && std::uniform_real_distribution<double>(0, 1)(random_) < aShare;
}

void
KeyedUpstream::Serve(Connection& aConnection)
{
  // A second copy of the last answer that has not been sent yet.
  std::string extra;
  Message request;
  while (aConnection.ReadRequest(request) == ReadEnd::Complete) {
    if (!extra.empty()) {
      ++extras_;
      record_.Line("upstream " + settings_.id_ + " sends an extra answer before that to " +
                   request.Target() + " " + request.Header("X-Request-Id") + ": " +
                   extra.substr(0, extra.find('\r')));
      aConnection.Send(extra);
      extra.clear();
    }
    const auto target = request.Target();
    const bool isGrant = target == "/api/grant";
    const bool isCommand = isGrant || target == "/api/release";
    const bool wasLeaving = isLeaving_;
    const auto reply = isCommand ? HandleCommand(request, !isGrant) : HandleRequest(request);
    const auto bytes = Encode(reply);
    ++answers_;
    if (!aConnection.Send(bytes) || wasLeaving) {
      return;
    }
    std::unique_lock lock(mutex_);
    const bool isRequest = !isCommand && target != "/health";
    if (isRequest && Draw(extraShare_)) {
      extra = bytes;
    }
    if (isGrant && std::exchange(isLastRenewal_, false)) {
      leavesAfterRenewals_ = false;
      extra = sendsExtraAtLeave_ ? bytes : std::string();
      lock.unlock();
      record_.Line("upstream " + settings_.id_ + " has answered its last renewal and leaves");
      Leave();
    }
  }
}

std::string
KeyedUpstream::Encode(const Reply& aReply) const
{
  std::string text = "HTTP/1.1 " + std::to_string(aReply.status_) + " -\r\n";
  for (const auto& header : aReply.headers_) {
    text += header + "\r\n";
  }
  if (isLeaving_) {
    text += "Connection: close\r\n";
  }
  return text + "Content-Length: " + std::to_string(aReply.body_.size()) + "\r\n\r\n" +
         aReply.body_;
}

KeyedUpstream::Reply
KeyedUpstream::HandleRequest(const Message& aRequest)
{
  if (aRequest.Target() == "/health") {
    return { isLeaving_ ? 503 : 200, { "X-Instance-Id: " + settings_.id_ }, "" };
  }
  const auto id = aRequest.Header("X-Request-Id");
  const auto expected = aRequest.Header("X-Expect-Instance");
  const int key = std::atoi(aRequest.Header("X-Shard-Key").c_str());
  std::unique_lock lock(mutex_);
  if ((!expected.empty() && expected != settings_.id_) || Now() >= until_.at(key)) {
    return Misdirected(id);
  }
  return Run(lock, aRequest, key);
}

KeyedUpstream::Reply
KeyedUpstream::Misdirected(const std::string& aRequest) const
{
  return { 421,
           { "X-Instance-Id: " + settings_.id_, "X-Not-Executed: 1", "X-Request-Id: " + aRequest },
           "" };
}

KeyedUpstream::Reply
KeyedUpstream::Run(std::unique_lock<std::mutex>& aLock, const Message& aRequest, int aKey)
{
  const auto id = aRequest.Header("X-Request-Id");
  const auto time = std::chrono::milliseconds(std::atoi(aRequest.Header("X-Deadline-Ms").c_str()));
  const auto deadline = std::chrono::steady_clock::now() + time;
  const Reply shed{ 503, { "X-Not-Executed: 1", "X-Request-Id: " + id }, "" };
  if (Draw(shedShare_)) {
    ++sheds_;
    return shed;
  }
  if (running_ >= settings_.slots_) {
    if (waiting_ >= settings_.queue_) {
      ++sheds_;
      return shed;
    }
    ++waiting_;
    const bool hasSlot =
      changed_.wait_until(aLock, deadline, [this] { return running_ < settings_.slots_; });
    --waiting_;
    if (!hasSlot) {
      return shed;
    }
    if (Now() >= until_.at(aKey)) {
      // The key was released meanwhile.
      changed_.notify_all();
      return Misdirected(id);
    }
  }
  ++running_;
  runningKeys_.insert(aKey);
  record_.Line("upstream " + settings_.id_ + " runs " + id);
  observer_.OnRun(settings_.id_, id, aKey);
  aLock.unlock();
  const auto work = std::chrono::steady_clock::now() + std::chrono::milliseconds(settings_.workMs_);
  std::this_thread::sleep_until(std::min(work, deadline));
  const bool isInTime = work <= deadline;
  aLock.lock();
  observer_.OnRunEnded(settings_.id_, id, aKey);
  --running_;
  runningKeys_.erase(runningKeys_.find(aKey));
  changed_.notify_all();
  return { isInTime ? 200 : 504,
           { "X-Request-Id: " + id, "X-Response-Signature: signed-" + settings_.id_ + "-" + id },
           isInTime ? "done " + id : std::string() };
}

bool
KeyedUpstream::HasRunning(int aFirst, int aLast) const
{
  const auto key = runningKeys_.lower_bound(aFirst);
  return key != runningKeys_.end() && *key <= aLast;
}

KeyedUpstream::Reply
KeyedUpstream::HandleCommand(const Message& aRequest, bool aIsRelease)
{
  const auto command = boost::json::parse(aRequest.body_).as_object();
  const int first = command.at("from").to_number<int>();
  const int last = command.at("targetVersion").to_number<int>();
  const auto fence = command.at("fence").to_number<std::uint64_t>();
  const std::string keys =
    std::to_string(first) + ".." + std::to_string(last) + " fence " + std::to_string(fence);
  std::unique_lock lock(mutex_);
  if (aIsRelease) {
    observer_.OnRelease(settings_.id_,
                        *std::max_element(until_.begin() + first, until_.begin() + last + 1));
    for (int key = first; key <= last; ++key) {
      fences_.at(key) = std::max(fences_.at(key), fence);
      until_.at(key) = 0;
    }
    ranges_.erase(first);
    record_.Line("upstream " + settings_.id_ + " is told to release " + keys);
    changed_.wait(lock, [&] { return !HasRunning(first, last); });
    record_.Line("upstream " + settings_.id_ + " has released " + keys);
    return { 200, { "X-Handover: h" + std::to_string(fence) }, "" };
  }
  if (std::any_of(fences_.begin() + first, fences_.begin() + last + 1, [&](auto aSeen) {
        return aSeen > fence;
      })) {
    return { 409, {}, "" };
  }
  const double until = Now() + command.at("holdMs").to_number<int>() / 1000.0;
  const bool isNew = fences_.at(first) < fence;
  for (int key = first; key <= last; ++key) {
    fences_.at(key) = fence;
    until_.at(key) = until;
  }
  if (isNew) {
    record_.Line("upstream " + settings_.id_ + " is granted " + keys);
  }
  isLastRenewal_ = IsLastRenewal(first);
  observer_.OnGrant(settings_.id_, first, last);
  return { 200, {}, "" };
}

} // namespace review
