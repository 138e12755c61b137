#include "Apps/Entry/PeerMessageCheck.h"
#include "Apps/Entry/PeerNetwork.h"
#include "FakePlatform.h"
#include "LoopbackSocket.h"
#include "platform/PlatformProtocol.h"

#include <gtest/gtest.h>

using namespace quetzalyoke;

namespace {

wire::PeerNews messageWith(const std::string &text)
{
    wire::PeerNews message;
    message.instance = "gateway-2";
    message.zone = "z";
    message.isUrgent = true;
    message.spent.emplace_back();
    message.spent.back().account = text;
    message.demand.emplace_back();
    message.demand.back().model = text;
    for (auto *list : {&message.wanted, &message.used}) {
        list->resize(3);
        (*list)[0].server = text;
        (*list)[1].model = text;
        (*list)[2].adapter = text;
    }
    message.notices.resize(3);
    message.notices[0].server = text;
    message.notices[1].model = text;
    message.notices[2].adapter = text;
    message.crashes.resize(3);
    message.crashes[0].fingerprint = text;
    message.crashes[1].incident = text + std::string(200, 'x');
    message.crashes[2].reporter = text;
    message.serverSignals.emplace_back();
    message.serverSignals.back().server = text;
    return message;
}

constexpr std::size_t entryCount = 15;

} // namespace

TEST(PeerMessageCheckTest, removesEntriesWithTextsThatAreNoNames)
{
    for (int byte = 0; byte < 0x100; ++byte) {
        const std::string text = std::string("a") + static_cast<char>(byte) + "b";
        wire::PeerNews message = messageWith(text);
        const PeerMessageVerdict verdict = checkPeerMessage(message);
        const bool isName = byte >= 0x20 && byte < 0x7f;
        EXPECT_TRUE(verdict.isUsable);
        EXPECT_EQ(verdict.invalidEntries, isName ? 0U : entryCount) << byte;
        EXPECT_EQ(message.wanted.size(), isName ? 3U : 0U) << byte;
        for (std::string wire::PeerNews::*field :
             {&wire::PeerNews::instance, &wire::PeerNews::zone, &wire::PeerNews::http}) {
            wire::PeerNews other = messageWith("a");
            other.*field = text;
            EXPECT_EQ(checkPeerMessage(other).isUsable, isName) << byte;
        }
    }
    wire::PeerNews message = messageWith(std::string(401, 'x'));
    EXPECT_EQ(checkPeerMessage(message).invalidEntries, entryCount);
}

// The names in a datagram become parts of orders to engines and of records in the store.
TEST(PeerMessageCheckTest, goesOnAfterDatagramsWithTextsThatAreNoNames)
{
    asio::io_context loop;
    platform::PlatformProtocol protocol;
    FakePlatform platform;
    EntrySettings settings;
    settings.instance = InstanceId("gateway-1");
    settings.zone = ZoneName("z");
    settings.processorShare = 1;
    // A port that was free just now.
    asio::ip::udp::socket probe(loop, {asio::ip::make_address(loopbackHost()), 0});
    settings.peerListen = {loopbackHost(), probe.local_endpoint().port()};
    probe.close();
    EntryState state(settings, loop, protocol, platform);
    int waiting = 0;
    state.onRequestWaiting = [&waiting] { ++waiting; };
    PeerNetwork peers(state,
                      {[] { return std::nullopt; }, [](const LeaseRow &) {}, [] { return false; },
                       [] { return true; }, [](std::size_t, Duration) {}});
    asio::ip::udp::socket sender(loop, {asio::ip::make_address(loopbackHost()), 0});
    const auto send = [&](const std::string &bytes) {
        sender.send_to(asio::buffer(bytes),
                       {asio::ip::make_address(loopbackHost()),
                        static_cast<unsigned short>(settings.peerListen.port)});
    };
    const auto bytesOf
        = [](const std::string &text) { return PeerSocket::encode(messageWith(text)); };
    for (int byte = 0; byte < 0x100; ++byte) {
        if (byte >= 0x20 && byte < 0x7f)
            continue;
        const std::string text = std::string("a") + static_cast<char>(byte);
        send(bytesOf(text));
        send(bytesOf("a").substr(0, static_cast<std::size_t>(byte)) + static_cast<char>(byte));
        wire::PeerNews other = messageWith("a");
        other.instance = text;
        send(PeerSocket::encode(other));
        loop.restart();
        loop.poll();
    }
    EXPECT_EQ(waiting, 0);
    EXPECT_FALSE(state.crashDetector.mustRefuse({Fingerprint("a\xff")}));
    send(bytesOf("a"));
    EXPECT_TRUE(runUntil(loop, [&waiting] { return waiting > 0; }));
}
