#include "internal/Fields.h"

namespace whinyard::peer::internal {

namespace {

    constexpr std::uint64_t longestColdMilliseconds = 3'600'000; // Guards against a foreign number.

    constexpr std::uint64_t leavingFlag = 1;
    constexpr std::uint64_t spotFlag = 2;

}

void writeEndpoint(FieldWriter& writer, const backing::ListedEndpoint& endpoint)
{
    writer.text(endpoint.name.value);
    writer.text(net::toText(endpoint.address));
    writer.text(endpoint.zone.value);
    writer.text(endpoint.service.value);
    writer.text(endpoint.versions.empty() ? std::string() : endpoint.versions.front().value);
    writer.number(endpoint.slots);
    writer.number((endpoint.leaving ? leavingFlag : 0) | (endpoint.isSpot ? spotFlag : 0));
    writer.number(endpoint.born);
    writer.number(static_cast<std::uint64_t>(endpoint.coldLeft.count()));
}

std::optional<backing::ListedEndpoint> readEndpoint(FieldReader& reader)
{
    backing::ListedEndpoint endpoint;
    endpoint.name.value = reader.text();
    Failure failure;
    const std::optional<net::Address> address = net::parseAddress(reader.text(), failure);
    if (!address)
        return std::nullopt;
    endpoint.address = *address;
    endpoint.zone.value = reader.text();
    endpoint.service.value = reader.text();
    endpoint.versions = { { reader.text() } };
    endpoint.slots = static_cast<std::uint32_t>(reader.number(std::numeric_limits<std::uint32_t>::max()));
    const std::uint64_t flags = reader.number(leavingFlag | spotFlag);
    endpoint.leaving = (flags & leavingFlag) != 0;
    endpoint.isSpot = (flags & spotFlag) != 0;
    endpoint.born = reader.number();
    endpoint.coldLeft = std::chrono::milliseconds(reader.number(longestColdMilliseconds));
    return endpoint;
}

}
