#include "Commands.h"

#include <iomanip>
#include <ostream>

namespace whinyard::command {

namespace {

    constexpr double thousandths = 1'000;

    double units(const nlohmann::ordered_json& total, const char* name)
    {
        return static_cast<double>(total.value(name, std::uint64_t { 0 })) / thousandths;
    }

    void printTotals(const nlohmann::ordered_json& totals, std::ostream& out)
    {
        out << "customer          item                  lines          billed      inner cost          tokens\n"
            << std::fixed << std::setprecision(3);
        for (const auto& total : totals) {
            out << std::left << std::setw(16) << total.value("customer", "") << "  " << std::setw(16) << total.value("item", "") << std::right;
            out << std::setw(11) << total.value("lines", std::uint64_t { 0 }) << std::setw(16) << units(total, "billedUnits");
            out << std::setw(16) << units(total, "innerUnits") << std::setw(16) << total.value("tokens", std::uint64_t { 0 }) << "\n";
        }
    }

    ExitCode printLines(AdminClient& client, const std::string& customer, Streams streams)
    {
        constexpr int okay = 200;
        Failure failure;
        const auto response = client.call("GET", "/api/bill/lines", { { "customer", customer } }, "", failure);
        if (response && response->status == okay) {
            streams.out << response->body;
            return ExitCode::done;
        }
        streams.err << (response ? failureOf(*response) : failure).reason << "\n";
        return ExitCode::refused;
    }

}

ExitCode bill(AdminClient& client, const std::string& customer, BillForm form, Streams streams)
{
    if (form == BillForm::lines)
        return printLines(client, customer, streams);
    Failure failure;
    const auto answer = client.get("/api/bill", { { "customer", customer } }, failure);
    if (!answer) {
        streams.err << failure.reason << "\n";
        return ExitCode::refused;
    }
    if (form == BillForm::json)
        streams.out << answer->dump(2) << "\n";
    else
        printTotals((*answer)["totals"], streams.out);
    for (const auto& fault : (*answer)["faults"])
        streams.err << "can't be read, so what it holds is missing: " << fault.get<std::string>() << "\n";
    return answer->value("complete", false) ? ExitCode::done : ExitCode::refused;
}

}
