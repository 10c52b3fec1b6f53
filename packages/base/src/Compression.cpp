#include "whinyard/base/Compression.h"

#include <zlib.h>

namespace whinyard {

namespace {

    constexpr int level = 6;
    constexpr std::size_t pieceSize = 16 * 1024;

    Bytef* bytesOf(std::string_view text)
    {
        // zlib's interface lacks const; it only reads its input.
        return reinterpret_cast<Bytef*>(const_cast<char*>(text.data()));
    }

    // Calls `step` (deflate or inflate) until it says that the end is reached, an error came, or the output passes `limit`.
    template <typename Step>
    bool run(z_stream& stream, std::string& output, std::size_t limit, Step step)
    {
        int status = Z_OK;
        while (status == Z_OK && output.size() <= limit) {
            const std::size_t before = output.size();
            output.resize(before + pieceSize);
            stream.next_out = bytesOf(output) + before;
            stream.avail_out = pieceSize;
            status = step(stream);
            output.resize(before + pieceSize - stream.avail_out);
        }
        return status == Z_STREAM_END && output.size() <= limit;
    }

    int inflateStep(z_stream& stream, std::string_view dictionary)
    {
        const int status = inflate(&stream, Z_NO_FLUSH);
        if (status != Z_NEED_DICT)
            return status;
        return inflateSetDictionary(&stream, bytesOf(dictionary), static_cast<uInt>(dictionary.size()));
    }

}

std::string compress(std::string_view text, std::string_view dictionary)
{
    z_stream stream {};
    deflateInit(&stream, level);
    if (!dictionary.empty())
        deflateSetDictionary(&stream, bytesOf(dictionary), static_cast<uInt>(dictionary.size()));
    stream.next_in = bytesOf(text);
    stream.avail_in = static_cast<uInt>(text.size());
    std::string data;
    run(stream, data, deflateBound(&stream, static_cast<uLong>(text.size())), [](z_stream& running) { return deflate(&running, Z_FINISH); });
    deflateEnd(&stream);
    return data;
}

std::optional<std::string> decompress(std::string_view data, std::size_t limit, Failure& failure, std::string_view dictionary)
{
    z_stream stream {};
    inflateInit(&stream);
    stream.next_in = bytesOf(data);
    stream.avail_in = static_cast<uInt>(data.size());
    std::string text;
    const bool whole = run(stream, text, limit, [&](z_stream& running) { return inflateStep(running, dictionary); });
    inflateEnd(&stream);
    if (whole)
        return text;
    failure = { .kind = ErrorKind::corruptRecord, .reason = "compressed data is cut, foreign or too large" };
    return std::nullopt;
}

}
