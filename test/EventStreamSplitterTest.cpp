#include "Serving/Requests/EventStreamSplitter.h"

#include <gtest/gtest.h>

#include <ctime>

using namespace quetzalyoke;

TEST(EventStreamSplitterTest, returnsOnlyCompleteEvents)
{
    const std::string stream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c";
    for (std::size_t pieceSize = 1; pieceSize <= stream.size(); ++pieceSize) {
        EventStreamSplitter splitter;
        std::string out;
        for (std::size_t at = 0; at < stream.size(); at += pieceSize)
            out += splitter.extractEvents(std::string_view(stream).substr(at, pieceSize));
        EXPECT_EQ(out, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n") << "piece " << pieceSize;
        EXPECT_EQ(splitter.lastEventId(), "2");
        EXPECT_EQ(splitter.eventCount(), 2U);
        EXPECT_EQ(splitter.remainder(), "id: 3\ndata: c");
        EXPECT_TRUE(splitter.isInsideEvent());
    }
}

TEST(EventStreamSplitterTest, continuesWithAnotherStream)
{
    EventStreamSplitter splitter;
    splitter.extractEvents("id: 1\ndata: a\n\nid: 2\nda");
    splitter.dropIncompleteEvent();
    EXPECT_EQ(splitter.extractEvents("id: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
    EXPECT_EQ(splitter.lastEventId(), "2");
}

// A faulty server may send an event that never ends.
TEST(EventStreamSplitterTest, dropsAnEventBeyondTheLimit)
{
    constexpr std::size_t limit = 1000;
    EventStreamSplitter splitter(limit);
    EXPECT_EQ(splitter.extractEvents("id: 1\ndata: x\n\n"), "id: 1\ndata: x\n\n");
    EXPECT_TRUE(splitter.extractEvents(std::string(limit, 'x')).empty());
    EXPECT_FALSE(splitter.isEventTooLarge());
    EXPECT_TRUE(splitter.extractEvents("x").empty());
    EXPECT_TRUE(splitter.isEventTooLarge());
    EXPECT_TRUE(splitter.extractEvents(std::string(10 * limit, 'x')).empty());
    EXPECT_LE(splitter.remainder().size(), limit);
    EXPECT_EQ(splitter.lastEventId(), "1");
    splitter.dropIncompleteEvent();
    EXPECT_FALSE(splitter.isEventTooLarge());
    EXPECT_EQ(splitter.extractEvents("id: 2\n\n"), "id: 2\n\n");
}

// The bytes of an event that arrive one by one must be searched once, not again with each further
// byte.
TEST(EventStreamSplitterTest, takesTimeProportionalToTheBytes)
{
    constexpr std::size_t bytes = 400'000;
    EventStreamSplitter splitter(bytes);
    const std::clock_t begin = std::clock();
    for (std::size_t i = 0; i < bytes; ++i)
        splitter.extractEvents("x");
    const double seconds = static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC;
    // One microsecond per byte; searching all bytes again each time takes minutes.
    EXPECT_LT(seconds, static_cast<double>(bytes) * 1e-6);
    EXPECT_EQ(splitter.extractEvents("\n\n").size(), bytes + 2);
}

TEST(EventStreamSplitterTest, isInsideNoEventAfterALineEnd)
{
    EventStreamSplitter splitter;
    EXPECT_FALSE(splitter.isInsideEvent());
    splitter.extractEvents("id: 1\ndata: a\n\n\r\n");
    EXPECT_FALSE(splitter.isInsideEvent());
    EXPECT_EQ(splitter.remainder(), "\r\n");
    splitter.extractEvents("i");
    EXPECT_TRUE(splitter.isInsideEvent());
}

// The id goes into a header of the request that continues the stream at another server. A control
// character there would begin a header of its own or make the request invalid.
TEST(EventStreamSplitterTest, remembersNoIdThatNoHeaderCanHold)
{
    for (int byte = 0; byte < 0x100; ++byte) {
        if (byte == '\n')
            continue;
        EventStreamSplitter splitter;
        const std::string id = std::string("a") + static_cast<char>(byte) + "b";
        splitter.extractEvents("id: 1\ndata: x\n\nid: " + id + "\ndata: y\n\n");
        const bool isUsable = byte >= 0x20 && byte < 0x7f;
        // Without an id the stream isn't continued; after the earlier one, events would come twice.
        EXPECT_EQ(splitter.lastEventId(), isUsable ? id : "") << byte;
        splitter.extractEvents("id: 3\ndata: z\n\n");
        EXPECT_EQ(splitter.lastEventId(), "3") << byte;
    }
    EventStreamSplitter splitter;
    splitter.extractEvents("id: " + std::string(5000, 'x') + "\ndata: y\n\n");
    EXPECT_EQ(splitter.lastEventId(), "");
}
