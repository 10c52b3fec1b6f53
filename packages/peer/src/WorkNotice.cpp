#include "whinyard/peer/WorkNotice.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <sstream>

namespace whinyard::peer {

namespace {

    constexpr std::uint16_t noticeFormat = 1;
    constexpr std::int64_t longestWorkUs = 60'000'000; // A longer one is no work that anybody gave.
    constexpr std::size_t largestNotices = 8 * 1024;

    struct WireNotice {
        std::string endpoint;
        std::int64_t workUs = 0;

        template <typename Archive>
        void serialize(Archive& archive)
        {
            archive(endpoint, workUs);
        }
    };

}

std::string encodeNotices(const std::vector<WorkNotice>& notices)
{
    std::vector<WireNotice> wire;
    for (const WorkNotice& notice : notices)
        wire.push_back({ notice.endpoint.value, notice.work.count() });
    std::ostringstream stream;
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(noticeFormat, wire);
    return std::move(stream).str();
}

std::optional<std::vector<WorkNotice>> decodeNotices(std::string_view bytes)
{
    if (bytes.size() > largestNotices)
        return std::nullopt;
    std::vector<WireNotice> wire;
    std::uint16_t format = 0;
    try {
        std::istringstream stream { std::string(bytes) };
        cereal::PortableBinaryInputArchive archive(stream);
        cereal::size_type count = 0;
        archive(format, cereal::make_size_tag(count));
        if (format != noticeFormat || count > mostNotices)
            return std::nullopt;
        for (cereal::size_type i = 0; i < count; ++i) {
            // The length of a text is checked before it is reserved.
            cereal::size_type length = 0;
            archive(cereal::make_size_tag(length));
            if (length > bytes.size())
                return std::nullopt;
            WireNotice notice;
            notice.endpoint.resize(length);
            archive(cereal::binary_data(notice.endpoint.data(), length), notice.workUs);
            wire.push_back(std::move(notice));
        }
        if (stream.peek() != std::istringstream::traits_type::eof())
            return std::nullopt;
    } catch (const cereal::Exception&) {
        return std::nullopt;
    }
    std::vector<WorkNotice> notices;
    for (const WireNotice& notice : wire) {
        if (notice.endpoint.empty() || notice.workUs < 0 || notice.workUs > longestWorkUs)
            return std::nullopt;
        notices.push_back({ { notice.endpoint }, std::chrono::microseconds(notice.workUs) });
    }
    return notices;
}

}
