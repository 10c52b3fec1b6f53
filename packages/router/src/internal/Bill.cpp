#include "internal/Bill.h"

#include <cmath>

namespace whinyard::router {

namespace {

    constexpr std::uint64_t thousandths = 1'000;

    ledger::UsageLine lineOf(const RequestContext& context, std::string item)
    {
        ledger::UsageLine line;
        line.identity = toText(context.id);
        line.request = context.id;
        line.customer = context.customer;
        line.item = std::move(item);
        line.attempts = static_cast<std::uint32_t>(context.accounts.size());
        line.innerUnits = context.innerUnits;
        line.at = context.core.parts.hybridClock.tick();
        return line;
    }

}

std::uint64_t tokenUnits(const config::Configuration& configuration, const VersionName& version, const TokenUsage& usage)
{
    const config::Version* priced = config::findVersion(configuration.document, version);
    const double price = priced ? priced->costPerThousandTokens : 0;
    // A thousandth of the price of a thousand tokens is the price of one, so one token costs `price` thousandths.
    return static_cast<std::uint64_t>(std::llround(price * static_cast<double>(usage.prompt + usage.completion)));
}

ledger::UsageLine chatLine(const RequestContext& context, const VersionName& version, const TokenUsage& usage, ledger::UsageEnd end)
{
    ledger::UsageLine line = lineOf(context, version.value);
    line.end = end;
    line.promptTokens = usage.prompt;
    line.completionTokens = usage.completion;
    if (end != ledger::UsageEnd::cut)
        line.billedUnits = tokenUnits(*context.configuration, version, usage);
    return line;
}

ledger::UsageLine serviceLine(const RequestContext& context, const config::Service& service)
{
    ledger::UsageLine line = lineOf(context, service.name.value);
    line.billedUnits = service.costPerCall * thousandths;
    return line;
}

void bill(RequestContext& context, const ledger::UsageLine& line)
{
    context.record(EventKind::billRecorded, { .amount = line.billedUnits, .reason = line.identity });
    Failure failure;
    const std::optional<std::string> how = context.core.parts.usage.record(line, failure);
    if (!how) {
        context.core.parts.metrics.add("whinyard_bill_lines_late_total");
        context.record(EventKind::billRecorded, { .amount = line.billedUnits, .reason = "not safe yet: " + failure.reason });
        return;
    }
    const bool durable = how->starts_with("segment");
    context.record(durable ? EventKind::billDurable : EventKind::billMirrored, { .reason = *how });
}

}
