#include "LibNet/PermitCodec.h"

#include <gtest/gtest.h>
#include <random>

namespace latchslip {

namespace {

FieldResult<PermitBatch>
Decode(const WireBytes& aFrame)
{
  return DecodePermitBatch(std::span(aFrame).subspan(kFrameHeaderBytes));
}

TEST(PermitCodec, EveryMessage_SurvivesRoundTrip)
{
  PermitBatch batch;
  batch.toDispatcher_ = {
    PermitRequest{ 7, "svc", "s1", "hall", { "s2", "s3" }, 2, milliseconds(-5), milliseconds(900) },
    PermitWithdrawal{ 8 },
    SendNotice{ 9, "svc", "s1", milliseconds(3), milliseconds(70) },
    SendEnd{ 10, SendResult::Shed, milliseconds(4), ServerStatus{ 3, 1, 4, 2.5 } },
    SendEnd{ 11, SendResult::Cancelled, Duration(0), std::nullopt },
    SendEnd{ 12, SendResult::Shed, milliseconds(4), std::nullopt, seconds(3) },
    SendEnd{ 13, SendResult::Answered, milliseconds(4), std::nullopt, Duration(0), 1700 },
    SendEnd{ 14, SendResult::Answered, milliseconds(4), std::nullopt, Duration(0), 1700, 8.7 },
    SendEnd{ 15,
             SendResult::Answered,
             milliseconds(4),
             std::nullopt,
             Duration(0),
             std::nullopt,
             kNoRateLimit },
    PermitRequest{ 16, "svc", "s1", "hall", {}, 2, milliseconds(5), milliseconds(900), 0xfeed },
    SendNotice{ 17, "svc", "s1", milliseconds(3), milliseconds(70), 0xfeed },
    SendEnd{ 18,
             SendResult::Broken,
             milliseconds(4),
             std::nullopt,
             Duration(0),
             std::nullopt,
             std::nullopt,
             true,
             1700 },
    CrashNotice{ 0xfeed, "s1", 1700, milliseconds(900), milliseconds(800) },
    Quarantine{ 0xfeed, seconds(60), 2 },
    DispatcherProbe{},
    DispatcherComplaint{}
  };
  batch.fromDispatcher_ = { Permit{ 7, "s1" },
                            PermitDelay{ 8 },
                            PermitDenial{ 9, milliseconds(250) },
                            PermitDenial{ 10, milliseconds(350), true },
                            Quarantine{ 0xfeed, seconds(60), 2 },
                            DispatcherSign{},
                            DispatcherResignation{ seconds(10) } };
  const auto read = Decode(EncodePermitBatch(batch));
  ASSERT_TRUE(read);
  EXPECT_EQ(read.value(), batch);
}

// Guards against permits that fill the link of a dispatcher: each request costs one of each
// message.
TEST(PermitCodec, OnePermit_TakesFewBytes)
{
  constexpr std::size_t kMaxRequestBytes = 112;
  constexpr std::size_t kMaxPermitBytes = 64;
  constexpr std::size_t kMaxEndBytes = 72;
  PermitBatch request;
  request.toDispatcher_ = { PermitRequest{ 70'000,
                                           "ledger",
                                           "i-32dcd57350",
                                           "hall-a",
                                           {},
                                           2,
                                           milliseconds(800),
                                           milliseconds(3000),
                                           0x1234'5678'9abc'def0 } };
  PermitBatch permit;
  permit.fromDispatcher_ = { Permit{ 70'000, "i-32dcd57350" } };
  PermitBatch end;
  end.toDispatcher_ = { SendEnd{ 70'000, SendResult::Answered, milliseconds(210), std::nullopt } };
  EXPECT_LE(EncodePermitBatch(request).size(), kMaxRequestBytes);
  EXPECT_LE(EncodePermitBatch(permit).size(), kMaxPermitBytes);
  EXPECT_LE(EncodePermitBatch(end).size(), kMaxEndBytes);
}

TEST(PermitCodec, CorruptBytes_AreDecodedWithoutCrash)
{
  PermitBatch batch;
  batch.toDispatcher_ = { SendEnd{ 10, SendResult::Shed, milliseconds(4), std::nullopt } };
  const auto frame = EncodePermitBatch(batch);
  std::minstd_rand random(1);
  for (int round = 0; round < 2000; ++round) {
    auto broken = frame;
    broken[kFrameHeaderBytes + random() % (broken.size() - kFrameHeaderBytes)] =
      static_cast<std::uint8_t>(random());
    // Any result is valid as long as decoding terminates without a crash.
    [[maybe_unused]] const auto read = Decode(broken);
  }
  EXPECT_FALSE(Decode(WireBytes(kFrameHeaderBytes + 16, 0xff)));
}

} // namespace

} // namespace latchslip
