#include "LibNet/PeerCodec.h"
#include "LibNet/PeerProof.h"

#include <gtest/gtest.h>
#include <random>

namespace latchslip {

namespace {

CodecResult<WireMessage>
RoundTrip(const WireMessage& aMessage)
{
  const auto wire = EncodeWire(aMessage);
  std::vector<std::uint64_t> words((wire.size() - kFrameHeaderBytes) / 8);
  std::copy(
    wire.begin() + kFrameHeaderBytes, wire.end(), reinterpret_cast<std::uint8_t*>(words.data()));
  return DecodeWire({ reinterpret_cast<const std::uint8_t*>(words.data()), words.size() * 8 });
}

template<typename T>
T
PeerRoundTrip(const T& aMessage)
{
  const auto result = RoundTrip(PeerMessage(aMessage));
  EXPECT_TRUE(result);
  return std::get<T>(std::get<PeerMessage>(result.value()));
}

TEST(PeerCodec, RequestWithLargeBody_ArrivesWhole)
{
  ForwardedRequest sent;
  sent.id_ = 99;
  sent.request_.service_ = "images";
  sent.request_.group_ = "floor";
  sent.request_.key_ = std::string("line\0one", 8);
  sent.request_.requestId_ = "r-1";
  sent.request_.isRepeatable_ = true;
  sent.request_.sendingToken_ = "i1#a/7";
  sent.request_.deadline_ = milliseconds(250);
  sent.request_.body_ = std::make_shared<const std::string>(5'000'000, '\xfe');
  const auto got = PeerRoundTrip(sent);
  EXPECT_EQ(got.id_, 99U);
  EXPECT_EQ(got.request_.key_, sent.request_.key_);
  EXPECT_EQ(got.request_.deadline_, milliseconds(250));
  EXPECT_EQ(got.request_.sendingToken_, "i1#a/7");
  EXPECT_EQ(*got.request_.body_, *sent.request_.body_);
}

TEST(PeerCodec, AnswerSent_EveryFieldArrives)
{
  ForwardedAnswer sent;
  sent.id_ = 7;
  sent.answer_ = MakeNotRun(Reason::QueueFull, milliseconds(30));
  sent.answer_.detail_ = "why";
  sent.answer_.contentType_ = "image/png";
  sent.answer_.status_ = 503;
  const auto got = PeerRoundTrip(sent);
  EXPECT_EQ(got.answer_.outcome_, RequestOutcome::NotRun);
  EXPECT_EQ(got.answer_.reason_, Reason::QueueFull);
  EXPECT_EQ(got.answer_.retryAfter_, milliseconds(30));
  EXPECT_EQ(got.answer_.detail_, "why");
  EXPECT_EQ(got.answer_.contentType_, "image/png");
  EXPECT_EQ(got.answer_.status_, 503U);
}

// Guards against a server's broken response in the answer of an instance that does not check it.
TEST(PeerCodec, ServersResponseIsBroken_OutcomeIsUnknown)
{
  ForwardedAnswer sound;
  sound.answer_.outcome_ = RequestOutcome::Answered;
  sound.answer_.status_ = 599;
  sound.answer_.contentType_ = "image/png";
  EXPECT_EQ(PeerRoundTrip(sound).answer_.status_, 599U);
  std::vector<ForwardedAnswer> broken(5, sound);
  broken.at(0).answer_.status_ = 0;
  broken.at(1).answer_.status_ = 99;
  broken.at(2).answer_.status_ = 600;
  broken.at(3).answer_.contentType_ = "a\r\nb";
  broken.at(4).answer_.contentType_ = std::string("a\0", 2);
  for (const auto& sent : broken) {
    const auto got = PeerRoundTrip(sent);
    EXPECT_EQ(got.answer_.outcome_, RequestOutcome::Unknown) << sent.answer_.status_;
  }
}

TEST(PeerCodec, ReportSent_EveryFieldArrives)
{
  ServerReport sent;
  sent.service_ = "rates";
  sent.server_ = "s1";
  sent.holder_ = "i1#a";
  sent.fence_ = 5;
  sent.sequence_ = 6;
  sent.releasedVersion_ = 7;
  sent.isReachable_ = sent.isWithheld_ = sent.isUnconfirmed_ = sent.hasStopped_ = true;
  sent.hasLoad_ = true;
  sent.load_ = 1.5;
  sent.slices_ = { { 1, 0.5 }, { ~KeyHash{ 0 }, 0.25 } };
  sent.hottestKey_ = 8;
  sent.hottestLoad_ = 0.75;
  const auto got = PeerRoundTrip(sent);
  EXPECT_EQ(got.holder_, "i1#a");
  EXPECT_EQ(got.sequence_, 6U);
  EXPECT_EQ(got.releasedVersion_, 7U);
  EXPECT_TRUE(got.isReachable_ && got.isWithheld_ && got.isUnconfirmed_ && got.hasStopped_);
  EXPECT_EQ(got.slices_, sent.slices_);
  EXPECT_EQ(got.hottestLoad_, 0.75);
}

TEST(PeerCodec, RowsAndStampsSent_Arrive)
{
  const auto rows = PeerRoundTrip(ViewRows{ { { "config", 3, "text" } } });
  EXPECT_EQ(rows.rows_.at(0).value_, "text");
  const auto stamps = PeerRoundTrip(ViewStamps{ { { "config", 3 } } });
  EXPECT_EQ(stamps.stamps_.at(0).version_, 3U);
}

TEST(PeerCodec, HeartbeatSent_IsSmall)
{
  const auto wire = EncodeWire(PeerMessage(Heartbeat{ true, 1, milliseconds(2) }));
  EXPECT_LE(wire.size(), 72U);
}

TEST(PeerCodec, RandomBytes_AreRejectedWithoutCrash)
{
  std::mt19937_64 random(3);
  for (int round = 0; round < 2000; ++round) {
    std::vector<std::uint64_t> words(random() % 20);
    for (auto& word : words) {
      word = random() % 3 == 0 ? random() : random() % 16;
    }
    static_cast<void>(
      DecodeWire({ reinterpret_cast<const std::uint8_t*>(words.data()), words.size() * 8 }));
  }
}

TEST(PeerCodec, TruncatedMessage_IsRejected)
{
  const auto wire = EncodeWire(PeerMessage(ViewRows{ { { "config", 3, std::string(100, 'x') } } }));
  std::vector<std::uint64_t> words((wire.size() - kFrameHeaderBytes) / 8 / 2);
  std::copy_n(wire.begin() + kFrameHeaderBytes,
              words.size() * 8,
              reinterpret_cast<std::uint8_t*>(words.data()));
  EXPECT_FALSE(
    DecodeWire({ reinterpret_cast<const std::uint8_t*>(words.data()), words.size() * 8 }));
}

class PeerProofOfHello : public testing::Test
{
protected:
  PeerHello hello_{ "i1#a", "a", "nonce-of-dialler", "" };
};

TEST_F(PeerProofOfHello, SameSecret_IsValid)
{
  const auto proof = ComputeProof("secret-secret-16", PeerRole::Initiator, "challenge", hello_);
  EXPECT_TRUE(IsProofValid(
    ComputeProof("secret-secret-16", PeerRole::Initiator, "challenge", hello_), proof));
}

TEST_F(PeerProofOfHello, AnythingDiffers_IsInvalid)
{
  const auto proof = ComputeProof("secret-secret-16", PeerRole::Initiator, "challenge", hello_);
  auto other = hello_;
  other.id_ = "i2#a";
  for (const auto& wrong :
       { ComputeProof("another-secret-x", PeerRole::Initiator, "challenge", hello_),
         ComputeProof("secret-secret-16", PeerRole::Acceptor, "challenge", hello_),
         ComputeProof("secret-secret-16", PeerRole::Initiator, "replayed", hello_),
         ComputeProof("secret-secret-16", PeerRole::Initiator, "challenge", other),
         std::string() }) {
    EXPECT_FALSE(IsProofValid(proof, wrong));
  }
}

} // namespace

} // namespace latchslip
