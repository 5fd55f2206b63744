#include "Generated/Echo.capnp.h"
#include "LibNet/PeerNetwork.h"

#include <benchmark/benchmark.h>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <capnp/ez-rpc.h>
#include <future>
#include <kj/async-io.h>
#include <kj/async.h>
#include <thread>
#include <unistd.h>

namespace latchslip {

namespace {

// Returns a loopback address with a port that no other listener of this process uses.
std::string
NextAddress()
{
  static int sNext = 22000 + (::getpid() * 13) % 8000;
  return "127.0.0.1:" + std::to_string(sNext++);
}

Body
MakeBody(std::int64_t aBytes)
{
  return std::make_shared<const std::string>(static_cast<std::size_t>(aBytes), 'b');
}

// One end of the peer connections that the instances use; echoes the body of each request.
class FramePeer : public PeerHandler
{
public:
  FramePeer(boost::asio::io_context& aContext,
            const std::string& aName,
            const std::string& aAddress)
    : network_(
        std::move(PeerNetwork::Create(aContext,
                                      { aName + "#a", "a", aAddress, "sixteen-bytes-or-more" },
                                      *this))
          .value())
  {
  }

  void OnPeerUp(const InstanceId&, const std::string&) override { isUp_ = true; }
  void OnPeerDown(const InstanceId&) override {}
  void OnPeerRefused(const std::string&, const std::string&) override {}
  void OnPeerMessage(const InstanceId& aFrom, const PeerMessage& aMessage) override
  {
    if (const auto* request = std::get_if<ForwardedRequest>(&aMessage)) {
      ForwardedAnswer answer;
      answer.id_ = request->id_;
      answer.answer_.body_ = request->request_.body_;
      network_->Send(aFrom, answer);
    } else {
      ++answers_;
    }
  }

  std::unique_ptr<PeerNetwork> network_;
  std::atomic<bool> isUp_{ false };
  std::uint64_t answers_ = 0;
};

// Length-prefixed frames over Asio, on the event loop that all other work uses too.
void
BM_TransportFramesOnAsio(benchmark::State& aState)
{
  const auto first = NextAddress();
  const auto second = NextAddress();
  boost::asio::io_context context;
  boost::asio::io_context remoteContext;
  FramePeer local(context, "local", first);
  FramePeer remote(remoteContext, "remote", second);
  local.network_->SetPeers({ { "remote", second, "a", false } });
  remote.network_->SetPeers({ { "local", first, "a", false } });
  std::thread thread([&] {
    const auto guard = boost::asio::make_work_guard(remoteContext);
    remoteContext.run();
  });
  while (!local.isUp_ || !remote.isUp_) {
    context.poll();
    std::this_thread::yield();
  }
  ForwardedRequest request;
  request.request_.body_ = MakeBody(aState.range(0));
  for (auto _ : aState) {
    const auto before = local.answers_;
    local.network_->Send("remote#a", request);
    while (local.answers_ == before) {
      context.run_one();
    }
  }
  remoteContext.stop();
  thread.join();
}
BENCHMARK(BM_TransportFramesOnAsio)
  ->Arg(64)
  ->Arg(1048576)
  ->Unit(benchmark::kMicrosecond)
  ->UseRealTime();

class EchoServer : public wire::Echo::Server
{
protected:
  kj::Promise<void> call(CallContext aContext) override
  {
    aContext.getResults().setBody(aContext.getParams().getBody());
    return kj::READY_NOW;
  }
};

// Cap'n Proto RPC on a separate thread; each call crosses to that thread and back to the Asio
// thread.
void
BM_TransportRpcOnOwnThread(benchmark::State& aState)
{
  std::promise<unsigned> port;
  std::promise<std::pair<const kj::Executor*, kj::PromiseFulfiller<void>*>> serverReady;
  std::thread server([&] {
    capnp::EzRpcServer rpc(kj::heap<EchoServer>(), "127.0.0.1");
    auto stop = kj::newPromiseAndFulfiller<void>();
    port.set_value(rpc.getPort().wait(rpc.getWaitScope()));
    serverReady.set_value({ &kj::getCurrentThreadExecutor(), stop.fulfiller.get() });
    stop.promise.wait(rpc.getWaitScope());
  });
  const auto number = port.get_future().get();
  const auto serverStop = serverReady.get_future().get();

  struct Client
  {
    const kj::Executor* executor_ = nullptr;
    kj::PromiseFulfiller<void>* stop_ = nullptr;
    wire::Echo::Client* echo_ = nullptr;
  };
  std::promise<Client> ready;
  std::thread client([&] {
    capnp::EzRpcClient rpc("127.0.0.1", number);
    auto echo = rpc.getMain<wire::Echo>();
    auto stop = kj::newPromiseAndFulfiller<void>();
    ready.set_value({ &kj::getCurrentThreadExecutor(), stop.fulfiller.get(), &echo });
    stop.promise.wait(rpc.getWaitScope());
  });
  const auto rpc = ready.get_future().get();
  boost::asio::io_context context;
  const auto guard = boost::asio::make_work_guard(context);
  const auto body = MakeBody(aState.range(0));
  for (auto _ : aState) {
    bool isDone = false;
    rpc.executor_->executeSync([&] {
      auto request = rpc.echo_->callRequest();
      request.setBody({ reinterpret_cast<const kj::byte*>(body->data()), body->size() });
      request.send()
        .then([&](capnp::Response<wire::Echo::CallResults>&& aResults) {
          auto answer = std::make_shared<const std::string>(
            reinterpret_cast<const char*>(aResults.getBody().begin()), aResults.getBody().size());
          boost::asio::post(context, [&isDone, answer] { isDone = true; });
        })
        .detach([](kj::Exception&&) {});
    });
    while (!isDone) {
      context.run_one();
    }
  }
  rpc.executor_->executeSync([&] { rpc.stop_->fulfill(); });
  client.join();
  serverStop.first->executeSync([&] { serverStop.second->fulfill(); });
  server.join();
}
BENCHMARK(BM_TransportRpcOnOwnThread)
  ->Arg(64)
  ->Arg(1048576)
  ->Unit(benchmark::kMicrosecond)
  ->UseRealTime();

} // namespace

} // namespace latchslip
