#include "internal/PaceFields.h"

#include <algorithm>
#include <cmath>

namespace whinyard::peer::internal {

namespace {

    // Sums are written as whole thousandths, raised by the largest so that none is negative.
    constexpr double sumUnits = 1'000;
    constexpr double largestSum = 1'000;
    constexpr std::uint64_t zeroSum = static_cast<std::uint64_t>(largestSum * sumUnits);

}

void writePaces(FieldWriter& writer, const PaceNotice& notice)
{
    writer.number(notice.paces.size());
    for (const policy::PaceNews& news : notice.paces) {
        const double sum = std::isfinite(news.sum) ? std::clamp(news.sum, -largestSum, largestSum) : 0;
        writer.text(news.engine.value);
        writer.number(news.incarnation);
        writer.number(static_cast<std::uint64_t>(std::llround((sum + largestSum) * sumUnits)));
        writer.number(news.samples);
    }
}

PaceNotice readPaces(FieldReader& reader)
{
    PaceNotice notice;
    const std::uint64_t count = reader.number(mostPaces);
    for (std::uint64_t i = 0; i < count; ++i) {
        policy::PaceNews news;
        news.engine.value = reader.text();
        news.incarnation = reader.number();
        news.sum = (static_cast<double>(reader.number(2 * zeroSum)) - static_cast<double>(zeroSum)) / sumUnits;
        news.samples = static_cast<std::uint32_t>(reader.number(policy::EnginePaces::mostSamples));
        notice.paces.push_back(std::move(news));
    }
    return notice;
}

}
