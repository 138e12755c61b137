#include "Serving/Requests/EventStreamSplitter.h"

#include <gtest/gtest.h>

#include <ctime>

using namespace quetzalyoke;

TEST(EventStreamSplitterTest, givesWholeEventsOnlyHoweverTheyArrive)
{
    const std::string stream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c";
    for (std::size_t piece = 1; piece <= stream.size(); ++piece) {
        EventStreamSplitter scanner;
        std::string out;
        for (std::size_t at = 0; at < stream.size(); at += piece)
            out += scanner.extractEvents(std::string_view(stream).substr(at, piece));
        EXPECT_EQ(out, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n") << "piece " << piece;
        EXPECT_EQ(scanner.lastEventId(), "2");
        EXPECT_EQ(scanner.eventCount(), 2U);
        EXPECT_EQ(scanner.incompleteEvent(), "id: 3\ndata: c");
    }
}

TEST(EventStreamSplitterTest, goesOnWithAnotherStream)
{
    EventStreamSplitter scanner;
    scanner.extractEvents("id: 1\ndata: a\n\nid: 2\nda");
    scanner.dropIncompleteEvent();
    EXPECT_EQ(scanner.extractEvents("id: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
    EXPECT_EQ(scanner.lastEventId(), "2");
}

// A server in trouble may send bytes that never end an event.
TEST(EventStreamSplitterTest, keepsNoMoreOfAnEventThanItsBound)
{
    constexpr std::size_t most = 1000;
    EventStreamSplitter scanner(most);
    EXPECT_EQ(scanner.extractEvents("id: 1\ndata: x\n\n"), "id: 1\ndata: x\n\n");
    EXPECT_TRUE(scanner.extractEvents(std::string(most, 'x')).empty());
    EXPECT_FALSE(scanner.isEventTooLarge());
    EXPECT_TRUE(scanner.extractEvents("x").empty());
    EXPECT_TRUE(scanner.isEventTooLarge());
    EXPECT_TRUE(scanner.extractEvents(std::string(10 * most, 'x')).empty());
    EXPECT_LE(scanner.incompleteEvent().size(), most);
    EXPECT_EQ(scanner.lastEventId(), "1");
    scanner.dropIncompleteEvent();
    EXPECT_FALSE(scanner.isEventTooLarge());
    EXPECT_EQ(scanner.extractEvents("id: 2\n\n"), "id: 2\n\n");
}

// Bytes that come one by one are looked at once, not again with each that follows.
TEST(EventStreamSplitterTest, takesTimeInProportionToItsBytes)
{
    constexpr std::size_t bytes = 400'000;
    EventStreamSplitter scanner(bytes);
    const std::clock_t begin = std::clock();
    for (std::size_t i = 0; i < bytes; ++i)
        scanner.extractEvents("x");
    const double seconds = static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC;
    // A microsecond a byte; looking at all of them again each time takes minutes.
    EXPECT_LT(seconds, static_cast<double>(bytes) * 1e-6);
    EXPECT_EQ(scanner.extractEvents("\n\n").size(), bytes + 2);
}
