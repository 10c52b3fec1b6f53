// The frames between a relay and its client: what is taken out of them, and which ends count as stated.
#include "internal/RelayFraming.h"

#include <boost/asio/error.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <random>

namespace whinyard::net::internal {
namespace {

    namespace asio = boost::asio;
    using boost::system::error_code;

    // Reads `bytes` in pieces of `pieceSize`, and then the close of the connection. Returns the data; `error` is how it has ended.
    std::string readAll(std::string_view bytes, std::size_t pieceSize, error_code& error, RelayFrameReader& reader)
    {
        std::string data;
        while (!bytes.empty() && !reader.isAtEnd(error)) {
            std::string piece(bytes.substr(0, pieceSize));
            bytes.remove_prefix(piece.size());
            error = {};
            piece.resize(reader.filter(piece.data(), piece.size(), error));
            data += piece;
        }
        if (!reader.isAtEnd(error)) {
            error = asio::error::eof;
            reader.filter(nullptr, 0, error);
        }
        return data;
    }

    std::string readAll(std::string_view bytes, std::size_t pieceSize, error_code& error)
    {
        RelayFrameReader reader;
        return readAll(bytes, pieceSize, error, reader);
    }

    TEST(RelayFramingTest, GivesBackTheBytesHoweverTheyArrive)
    {
        std::minstd_rand random(5);
        for (const std::size_t size : { 0, 1, 63, 64, 8'192, 16'383, 16'384, 70'000 }) {
            std::string data(size, '\0');
            std::generate(data.begin(), data.end(), [&] { return static_cast<char>(random()); });
            const std::string framed = dataFrameHead(data.size()) + data + dataFrameHead(3) + "end" + endFrame(RelayedEnd::serverClosed);
            for (const std::size_t pieceSize : { std::size_t(1), std::size_t(2), std::size_t(7), std::size_t(1'000), framed.size() }) {
                error_code error;
                EXPECT_EQ(readAll(framed, pieceSize, error), data + "end") << size << " in pieces of " << pieceSize;
                EXPECT_EQ(error, asio::error::eof);
            }
        }
    }

    // Guards against a cut answer that looks whole, wherever the relay's process ends.
    TEST(RelayFramingTest, TakesEveryEndWithoutItsFrameForACut)
    {
        const std::string framed = dataFrameHead(200) + std::string(200, 'x') + endFrame(RelayedEnd::serverClosed);
        for (std::size_t size = 0; size < framed.size(); ++size) {
            error_code error;
            readAll(std::string_view(framed).substr(0, size), 50, error);
            EXPECT_EQ(error, asio::error::connection_reset) << "after " << size << " bytes";
        }
    }

    TEST(RelayFramingTest, TellsWhatHasEndedTheServersConnection)
    {
        for (const RelayedEnd end : { RelayedEnd::serverClosed, RelayedEnd::serverLost, RelayedEnd::expired }) {
            error_code error;
            RelayFrameReader reader;
            EXPECT_EQ(readAll(dataFrameHead(1) + "x" + endFrame(end), 2, error, reader), "x");
            EXPECT_EQ(reader.statedEnd(), end);
            EXPECT_EQ(error == asio::error::eof, end == RelayedEnd::serverClosed);
        }
    }

    // Guards against a later release whose frames or reasons this one takes for bytes of an answer, or for its proper end.
    TEST(RelayFramingTest, BearsTypesAndReasonsThatItDoesNotKnow)
    {
        const std::string unknownType("\x40\x41\x03???", 6);
        error_code error;
        EXPECT_EQ(readAll(unknownType + dataFrameHead(2) + "ab" + unknownType + endFrame(RelayedEnd::serverClosed), 3, error), "ab");
        EXPECT_EQ(error, asio::error::eof);
        const std::string unknownReason("\x01\x01\x2a", 3);
        EXPECT_EQ(readAll(dataFrameHead(2) + "ab" + unknownReason, 3, error), "ab");
        EXPECT_EQ(error, asio::error::connection_reset);
        const std::string longEnd("\x01\x02\x00\x00", 4);
        readAll(longEnd, 4, error);
        EXPECT_EQ(error, asio::error::connection_reset);
    }

}
}
