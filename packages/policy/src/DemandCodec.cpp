#include "whinyard/policy/DemandCodec.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace whinyard::policy {

namespace {

    using nlohmann::json;

    constexpr std::size_t numbersPerDemand = 4;
    constexpr std::size_t numbersPerAck = 2;
    constexpr std::size_t headNumbers = 2;

    std::uint32_t lifeDigest(const InstanceName& instance, Incarnation incarnation)
    {
        return static_cast<std::uint32_t>(stableHash(instance.value, incarnation.number));
    }

    std::string packed(const json& numbers)
    {
        std::string bytes;
        json::to_msgpack(numbers, bytes);
        return bytes;
    }

    bool areNumbers(const json& numbers)
    {
        return numbers.is_array() && std::all_of(numbers.begin(), numbers.end(), [](const json& number) { return number.is_number_unsigned(); });
    }

    // Reads the number at `place` if it fits a 32-bit field.
    std::optional<std::uint32_t> small(const json& numbers, std::size_t place)
    {
        const auto number = numbers[place].get<std::uint64_t>();
        if (number > std::numeric_limits<std::uint32_t>::max())
            return std::nullopt;
        return static_cast<std::uint32_t>(number);
    }

    std::optional<CustomerDemand> demandAt(const json& numbers, std::size_t place)
    {
        const std::optional<std::uint32_t> rate = small(numbers, place + 1);
        const std::optional<std::uint32_t> concurrent = small(numbers, place + 2);
        const std::optional<std::uint32_t> inFlight = small(numbers, place + 3);
        if (!rate || !concurrent || !inFlight)
            return std::nullopt;
        return CustomerDemand { numbers[place].get<std::uint64_t>(), *rate, *concurrent, *inFlight };
    }

}

std::optional<std::string> packDemandReport(const DemandReport& report, std::size_t maximumBytes, std::size_t firstAck)
{
    json numbers = json::array({ report.sequence, report.demands.size() });
    for (const CustomerDemand& demand : report.demands) {
        numbers.push_back(demand.customer);
        numbers.push_back(demand.requestsPerKilosecond);
        numbers.push_back(demand.concurrent);
        numbers.push_back(demand.inFlight);
    }
    std::string bytes = packed(numbers);
    if (bytes.size() > maximumBytes)
        return std::nullopt;
    for (std::size_t position = 0; position < report.acks.size(); ++position) {
        const DemandAck& ack = report.acks[(firstAck + position) % report.acks.size()];
        numbers.push_back(lifeDigest(ack.instance, ack.incarnation));
        numbers.push_back(ack.sequence);
        std::string longer = packed(numbers);
        if (longer.size() > maximumBytes)
            break;
        bytes = std::move(longer);
    }
    return bytes;
}

std::optional<DemandReport> unpackDemandReport(std::string_view bytes, Incarnation sender, std::span<const DemandPeer> peers)
{
    const json numbers = json::from_msgpack(bytes, true, false);
    if (!areNumbers(numbers) || numbers.size() < headNumbers)
        return std::nullopt;
    const auto demands = numbers[1].get<std::uint64_t>();
    if (demands > (numbers.size() - headNumbers) / numbersPerDemand)
        return std::nullopt;
    const std::size_t acksBegin = headNumbers + demands * numbersPerDemand;
    if ((numbers.size() - acksBegin) % numbersPerAck != 0)
        return std::nullopt;
    DemandReport report;
    report.incarnation = sender;
    report.sequence = numbers[0].get<std::uint64_t>();
    for (std::size_t place = headNumbers; place < acksBegin; place += numbersPerDemand) {
        const std::optional<CustomerDemand> demand = demandAt(numbers, place);
        if (!demand)
            return std::nullopt;
        report.demands.push_back(*demand);
    }
    for (std::size_t place = acksBegin; place < numbers.size(); place += numbersPerAck) {
        const auto digest = numbers[place].get<std::uint64_t>();
        const auto peer = std::find_if(peers.begin(), peers.end(), [digest](const DemandPeer& life) { return lifeDigest(life.instance, life.incarnation) == digest; });
        if (peer != peers.end())
            report.acks.push_back({ peer->instance, peer->incarnation, numbers[place + 1].get<std::uint64_t>() });
    }
    return report;
}

}
