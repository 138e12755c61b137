#include "Serving/Requests/EventScanner.h"

#include <gtest/gtest.h>

using namespace quetzalyoke;

TEST(EventScannerTest, givesWholeEventsOnlyHoweverTheyArrive)
{
    const std::string stream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c";
    for (std::size_t piece = 1; piece <= stream.size(); ++piece) {
        EventScanner scanner;
        std::string out;
        for (std::size_t at = 0; at < stream.size(); at += piece)
            out += scanner.take(std::string_view(stream).substr(at, piece));
        EXPECT_EQ(out, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n") << "piece " << piece;
        EXPECT_EQ(scanner.lastId(), "2");
        EXPECT_EQ(scanner.events(), 2U);
        EXPECT_EQ(scanner.rest(), "id: 3\ndata: c");
    }
}

TEST(EventScannerTest, goesOnWithAnotherStream)
{
    EventScanner scanner;
    scanner.take("id: 1\ndata: a\n\nid: 2\nda");
    scanner.dropRest();
    EXPECT_EQ(scanner.take("id: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
    EXPECT_EQ(scanner.lastId(), "2");
}
