// Crowds of callers, and backend servers, that try to make a gateway hold as much as they can. Each
// test checks only that the process lives, that its memory and descriptors stay within the stated
// limits and that it answers an ordinary request afterwards.

#include "GatewayProcessTest.h"
#include "LoopbackSocket.h"

#include <iostream>

using namespace quetzalyoke;
using namespace std::chrono_literals;

namespace {

// Leaves some of the connections that the gateway accepts to others.
constexpr int crowdSize = 150;

// Only end a test that makes no more progress; nothing is checked against them.
constexpr std::chrono::milliseconds crowdTime{25'000};
constexpr std::chrono::milliseconds settleTime{1000};
// Until responses fill the system's buffers of all callers.
constexpr std::chrono::milliseconds responseTime{6000};

// The bytes of a caller's connection: a beginning, then a unit that is sent many times.
struct Script
{
    std::string begin;
    std::string unit;
    std::size_t units = 0;
    std::string numbered = {}; // a text in the unit that becomes another number in each
};

// Sends its script and keeps the connection open without ever reading from it.
class RudeCaller : public std::enable_shared_from_this<RudeCaller>
{
public:
    RudeCaller(asio::io_context &loop, std::shared_ptr<const Script> script)
        : m_socket(loop), m_script(std::move(script))
    { }

    void start(const Address &gateway)
    {
        SystemErrorCode ignored;
        m_socket.open(Tcp::v4(), ignored);
        // Otherwise the system takes long responses in for the caller.
        m_socket.set_option(asio::socket_base::receive_buffer_size(4096), ignored);
        const Tcp::endpoint peer(asio::ip::make_address(gateway.host),
                                 static_cast<unsigned short>(gateway.port));
        m_socket.async_connect(peer, [self = shared_from_this()](const SystemErrorCode &ec) {
            if (ec)
                self->m_isDone = true;
            else
                self->write(self->m_script->begin);
        });
    }
    bool isDone() const { return m_isDone; }

private:
    void write(const std::string &bytes)
    {
        asio::async_write(m_socket, asio::buffer(bytes),
                          [self = shared_from_this()](const SystemErrorCode &ec, std::size_t) {
                              self->onWritten(ec);
                          });
    }
    void onWritten(const SystemErrorCode &ec)
    {
        m_isDone = ec || m_sentUnits == m_script->units;
        if (m_isDone)
            return;
        ++m_sentUnits;
        m_unit = m_script->unit;
        if (const std::string &text = m_script->numbered; !text.empty()) {
            static std::size_t number = 0;
            std::string digits = std::to_string(++number);
            digits.insert(0, text.size() - digits.size(), '0');
            m_unit.replace(m_unit.find(text), text.size(), digits);
        }
        write(m_unit);
    }

    Tcp::socket m_socket;
    std::shared_ptr<const Script> m_script;
    std::size_t m_sentUnits = 0;
    std::string m_unit;
    bool m_isDone = false;
};

std::string chunk(std::size_t bytes)
{
    char size[24];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes);
    return size + std::string(bytes, 'x') + "\r\n";
}

std::string repeated(const std::string &text, std::size_t n)
{
    std::string out;
    out.reserve(text.size() * n);
    for (std::size_t i = 0; i < n; ++i)
        out += text;
    return out;
}

std::string head(const std::string &path, const std::string &fields)
{
    return "POST " + path + " HTTP/1.1\r\nHost: callers.example\r\nAttempt-Id: rude\r\n" + fields
        + "\r\n";
}

std::string chunkedHead(const std::string &path)
{
    return head(path, "Transfer-Encoding: chunked\r\n");
}

class UnboundedCallersTest : public GatewayProcessTest
{
protected:
    // Sends the script from a crowd that stays connected, then checks the gateway.
    void checkCrowd(const Script &script, int callers = crowdSize,
                    std::chrono::milliseconds settle = settleTime)
    {
        ASSERT_TRUE(isAnswered()) << "before the crowd";
        const auto shared = std::make_shared<const Script>(script);
        std::vector<std::shared_ptr<RudeCaller>> crowd;
        for (int i = 0; i < callers; ++i) {
            crowd.push_back(std::make_shared<RudeCaller>(loop, shared));
            crowd.back()->start(address);
        }
        runFor(crowdTime, [&crowd] {
            return std::all_of(crowd.begin(), crowd.end(),
                               [](const auto &it) { return it->isDone(); });
        });
        runFor(settle, [] { return false; });
        const auto ending = gateway->waitForExit(0ms);
        ASSERT_FALSE(ending) << "the gateway ended, signal " << ending->signal << ", status "
                             << ending->exitStatus;
        EXPECT_TRUE(isAnswered()) << "after the crowd";
        const std::size_t peakKb = statusKb("VmHWM");
        std::cout << "peak " << peakKb / 1024 << " MB, now " << statusKb("VmRSS") / 1024
                  << " MB, at most " << peakDescriptors << " descriptors" << std::endl;
        EXPECT_GT(peakKb, 0U);
        EXPECT_LE(peakKb, memoryMb * 1024);
        EXPECT_LE(peakDescriptors, maxDescriptors);
        EXPECT_FALSE(gateway->waitForExit(0ms));
    }
};

} // namespace

// Bodies within the limit that never become complete add up.
TEST_F(UnboundedCallersTest, survivesChunkedBodiesThatStopShort)
{
    checkCrowd({chunkedHead("/ordinary/x"), chunk(chunkBytes), 44});
}

// Each byte costs six on the way, and may cost more beside the byte if chunks are kept.
TEST_F(UnboundedCallersTest, survivesBodiesInChunksOfOneByteThatStopShort)
{
    checkCrowd({chunkedHead("/ordinary/x"), repeated(chunk(1), 10'000), 90});
}

// Small bodies leave holes in the heap rather than mappings of their own.
TEST_F(UnboundedCallersTest, survivesSmallBodiesOfMoreCallersThatStopShort)
{
    checkCrowd({chunkedHead("/ordinary/x"), chunk(100'000), 5}, 190);
}

TEST_F(UnboundedCallersTest, survivesBodiesOfAnnouncedLengthThatStopShort)
{
    checkCrowd({head("/ordinary/x", "Content-Length: " + std::to_string(bodyLimit) + "\r\n"),
                std::string(chunkBytes, 'x'), 44});
}

TEST_F(UnboundedCallersTest, survivesAnnouncedBodiesFarOverTheLimit)
{
    checkCrowd(
        {head("/ordinary/x", "Content-Length: 1000000000\r\n"), std::string(chunkBytes, 'x'), 256});
}

TEST_F(UnboundedCallersTest, survivesEndlessChunkedBodies)
{
    checkCrowd({chunkedHead("/ordinary/x"), chunk(chunkBytes), 1024});
}

TEST_F(UnboundedCallersTest, survivesEndlessHeads)
{
    checkCrowd({"GET /ordinary/x HTTP/1.1\r\nHost: callers.example\r\n",
                repeated("X: " + std::string(60, 'x') + "\r\n", 100), 100});
}

// A field of four bytes costs the parser some hundred.
TEST_F(UnboundedCallersTest, survivesHeadsOfManyFieldsWithoutTheirBody)
{
    checkCrowd({head("/ordinary/x", "Content-Length: 10\r\n" + repeated("a:\r\n", 4000)), "", 0},
               190);
}

TEST_F(UnboundedCallersTest, survivesEndlessTrailers)
{
    checkCrowd({chunkedHead("/ordinary/x") + "0\r\n",
                repeated("X: " + std::string(60, 'x') + "\r\n", 100), 100});
}

TEST_F(UnboundedCallersTest, survivesEndlessChunkExtensions)
{
    checkCrowd({chunkedHead("/ordinary/x") + "1;x=", std::string(chunkBytes, 'x'), 20});
}

// Requests behind one that takes long are kept.
TEST_F(UnboundedCallersTest, survivesPipelinedRequests)
{
    checkCrowd({head("/held/x", "Content-Length: 0\r\n"),
                repeated(head("/held/x", "Content-Length: 0\r\n"), 500), 50});
}

// More callers than the gateway keeps connections for, with requests that never become complete.
TEST_F(UnboundedCallersTest, answersBesideMoreCallersThanConnections)
{
    checkCrowd({"GET /ordinary/x HTTP/1.1\r\nHost: c", "", 0}, 260);
}

// Each response of a pipeline is short, but nobody reads any.
TEST_F(UnboundedCallersTest, survivesPipelinesWhoseResponsesAreNotRead)
{
    checkCrowd({head("/ordinary/x", "Content-Length: 0\r\n"),
                repeated(head("/ordinary/x", "Content-Length: 0\r\n"), 100), 20},
               crowdSize, responseTime);
}

TEST_F(UnboundedCallersTest, survivesCallersThatReadNoStream)
{
    checkCrowd({head("/stream/x", "Content-Length: 0\r\n"), "", 0}, 190, responseTime);
}

// Up to 8 MB of a response that is not a stream are kept for a slow caller.
TEST_F(UnboundedCallersTest, survivesCallersThatReadNoLargeResponse)
{
    checkCrowd({head("/large/x", "Content-Length: 0\r\n"), "", 0}, 40);
}

// Complete requests are kept until they are answered.
TEST_F(UnboundedCallersTest, survivesLargeRequestsThatAreAnsweredLate)
{
    checkCrowd({head("/held/x", "Content-Length: 2883584\r\n"), std::string(chunkBytes, 'x'), 44},
               60);
}

// What a gateway remembers by names that callers choose must not grow with each new name.
TEST_F(UnboundedCallersTest, survivesManyNamesOfModelsAndAdapters)
{
    checkCrowd({"",
                head("/ordinary/x",
                     "Content-Length: 0\r\nModel: NNNNNNNN" + std::string(5000, 'm') + "/"
                         + std::string(10'000, 'a') + "\r\n"),
                100, "NNNNNNNN"},
               crowdSize, responseTime);
}

// As above, where the service has models. Without a price, quotas don't limit such requests.
TEST_F(UnboundedCallersTest, survivesManyNamesOfModelsAtAServiceWithModels)
{
    checkCrowd({"",
                head("/model/x",
                     "Content-Length: 0\r\nModel: NNNNNNNN" + std::string(5000, 'm') + "/"
                         + std::string(10'000, 'a') + "\r\n"),
                100, "NNNNNNNN"},
               crowdSize, responseTime);
}

TEST_F(UnboundedCallersTest, survivesManyNamesOfAdaptersOfAModel)
{
    checkCrowd({"",
                head("/model/x",
                     "Content-Length: 0\r\nModel: m0/NNNNNNNN" + std::string(15'000, 'a') + "\r\n"),
                100, "NNNNNNNN"},
               crowdSize, responseTime);
}

// A datagram of a few bytes can announce a list of millions of entries, whose memory must not be
// reserved before they are there.
TEST_F(UnboundedCallersTest, survivesDatagramsThatAnnounceLongLists)
{
    ASSERT_TRUE(isAnswered());
    asio::ip::udp::socket sender(loop, asio::ip::udp::v4());
    const asio::ip::udp::endpoint to(asio::ip::make_address(peers.host),
                                     static_cast<unsigned short>(peers.port));
    for (char field = 1; field < 60; ++field) {
        // In Thrift's compact protocol: field of type list, its id, structs, 6 million of them.
        const std::string bytes = std::string{
            '\x09', static_cast<char>(field * 2), '\xfc', '\x80', '\x9b', '\xee', '\x02'};
        sender.send_to(asio::buffer(bytes), to);
    }
    checkCrowd({"GET /ordinary/x HTTP/1.1\r\nHost: c", "", 0}, 1);
}

// Responses that never end, to a crowd of ordinary requests.
class UnboundedServersTest : public UnboundedCallersTest
{
protected:
    void checkResponse(const std::string &begin, const std::string &unit)
    {
        const std::string signedHead
            = "HTTP/1.1 200 OK\r\nAttempt-Id: rude\r\nResponse-Stamp: s\r\n";
        for (const std::string path : {"/endless/x", "/endless-stream/x"}) {
            endless.setResponse(
                begin.starts_with("HTTP") || begin.empty() ? begin : signedHead + begin, unit);
            const std::size_t before = endless.requests();
            checkCrowd({head(path, "Content-Length: 0\r\n"), "", 0}, crowdSize, responseTime);
            EXPECT_GT(endless.requests(), before);
        }
    }
};

const std::string filler(chunkBytes, 'x');
const std::string longFields = repeated("X: " + std::string(300, 'x') + "\r\n", 200);
const std::string keptConnection = "Keep-Alive: timeout=50\r\nContent-Length: 0\r\n\r\n";
const std::string chunkedBody = "Transfer-Encoding: chunked\r\n\r\n";

TEST_F(UnboundedServersTest, survivesBytesThatAreNoResponse)
{
    checkResponse("", filler);
}

TEST_F(UnboundedServersTest, survivesOneEndlessField)
{
    checkResponse("X: ", filler);
}

TEST_F(UnboundedServersTest, survivesEndlessFields)
{
    checkResponse("X: 1\r\n", repeated("X: " + std::string(60, 'x') + "\r\n", 1000));
}

TEST_F(UnboundedServersTest, survivesEndlessBodiesWithoutALength)
{
    checkResponse("\r\n", filler);
}

TEST_F(UnboundedServersTest, survivesEndlessChunkedBodies)
{
    checkResponse(chunkedBody, chunk(chunkBytes));
}

TEST_F(UnboundedServersTest, survivesBodiesOfAnEnormousLength)
{
    checkResponse("Content-Length: 1000000000000\r\n\r\n", filler);
}

// A field of four bytes costs the parser some hundred.
TEST_F(UnboundedServersTest, survivesEndlessBodiesAfterHeadsOfManyFields)
{
    checkResponse(repeated("a:\r\n", 16'000) + "\r\n", filler);
}

TEST_F(UnboundedServersTest, survivesEndlessBodiesAfterLongHeads)
{
    checkResponse(longFields + "\r\n", filler);
}

TEST_F(UnboundedServersTest, survivesHeadsOfManyFieldsOnKeptConnections)
{
    checkResponse(repeated("a:\r\n", 16'000) + keptConnection, "");
}

TEST_F(UnboundedServersTest, survivesLongHeadsOnKeptConnections)
{
    checkResponse(longFields + keptConnection, "");
}

TEST_F(UnboundedServersTest, survivesEndlessChunkExtensions)
{
    checkResponse(chunkedBody + "1;x=", filler);
}

TEST_F(UnboundedServersTest, survivesEndlessTrailers)
{
    checkResponse(chunkedBody + "0\r\n", repeated("X: " + std::string(60, 'x') + "\r\n", 1000));
}

TEST_F(UnboundedServersTest, survivesEndlessInterimResponses)
{
    checkResponse("HTTP/1.1 100 Continue\r\n\r\n", repeated("HTTP/1.1 100 Continue\r\n\r\n", 1000));
}

TEST_F(UnboundedServersTest, survivesEndlessResponsesToAnotherRequest)
{
    const std::string foreign = "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nContent-Length: 0\r\n\r\n";
    checkResponse(foreign, repeated(foreign, 1000));
}
