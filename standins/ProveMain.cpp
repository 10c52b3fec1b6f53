// Proves a running fleet from outside: `load` drives bounded load and notes what callers and
// endpoints saw, `check` judges that together with the bill. It starts and stops nothing; scripts/prove
// starts the processes and causes the faults.
#include "prove/Checker.h"
#include "prove/LoadRun.h"
#include "prove/Summary.h"

#include "whinyard/backing/HttpPlatform.h"
#include "whinyard/base/Log.h"
#include "whinyard/ledger/UsageReader.h"

#include <CLI/CLI.hpp>

#include <fstream>
#include <iostream>
#include <sstream>

namespace whinyard::standin {

namespace {

    struct ProveOptions {
        std::string plan;
        std::string observations;
        std::string platform;
        std::uint32_t partitions = 32;
        std::string bill;
        std::string faults;
        std::string withdrawals;
        std::int64_t seconds = 10;
        std::int64_t settleSeconds = 60;
    };

    std::string contentsOf(const std::string& file)
    {
        std::ifstream stream(file);
        std::ostringstream contents;
        contents << stream.rdbuf();
        return contents.str();
    }

    std::vector<std::string> linesOf(const std::string& file)
    {
        std::vector<std::string> lines;
        std::istringstream stream(contentsOf(file));
        for (std::string line; std::getline(stream, line);)
            lines.push_back(line);
        return lines;
    }

    LoadPlan readPlan(const std::string& file)
    {
        return nlohmann::json::parse(contentsOf(file)).get<LoadPlan>();
    }

    Expectation expectationOf(const LoadPlan& plan)
    {
        Expectation expectation { .graceful = plan.graceful };
        for (const LoadCustomer& customer : plan.customers)
            expectation.permitted[customer.name] = { customer.permitted.begin(), customer.permitted.end() };
        return expectation;
    }

    // Reads lines of a version and the wall clock's milliseconds of its withdrawal.
    std::vector<Withdrawal> readWithdrawals(const std::string& file)
    {
        std::vector<Withdrawal> withdrawals;
        std::istringstream stream(contentsOf(file));
        for (Withdrawal withdrawal; stream >> withdrawal.version >> withdrawal.acceptedMs;)
            withdrawals.push_back(withdrawal);
        return withdrawals;
    }

    // Writes the lines of the bill, as the reader of `whinyard bill` finds them, a line each.
    int bill(const ProveOptions& options)
    {
        Failure failure;
        const auto platform = net::parseAddress(options.platform, failure);
        if (!platform) {
            std::cerr << failure.reason << std::endl;
            return 2;
        }
        net::Duty duty("bill");
        std::optional<std::vector<ledger::UsageLine>> lines;
        net::runOn(duty, [&] {
            const auto client = net::HttpClient::create(duty);
            const auto store = backing::makeHttpKeyValueStore(*client, { .address = *platform, .callTimeout = std::chrono::seconds(10) });
            lines = ledger::UsageReader(*store, options.partitions).lines({}, failure);
        });
        duty.stop();
        if (!lines) {
            std::cerr << failure.reason << std::endl;
            return 1;
        }
        std::ofstream out(options.bill);
        for (const ledger::UsageLine& line : *lines)
            out << ledger::toJsonLine(line) << '\n';
        return 0;
    }

    // Reads what bill() wrote.
    std::vector<BillLine> readBill(const std::string& file)
    {
        std::vector<BillLine> bill;
        for (const std::string& line : linesOf(file))
            bill.push_back(nlohmann::json::parse(line).get<BillLine>());
        return bill;
    }

    int load(const ProveOptions& options)
    {
        const LoadPlan plan = readPlan(options.plan);
        log::start("prove", "warning");
        const SystemClock clock;
        net::Duty duty("load");
        const auto seen = net::callOn(duty, [&] {
            const auto client = net::HttpClient::create(duty);
            LoadRun run(duty, *client, clock, plan);
            return run.run(std::chrono::seconds(options.seconds), std::chrono::seconds(options.settleSeconds));
        });
        duty.stop();
        log::stop();
        if (!seen)
            return 2;
        std::ofstream(options.observations) << nlohmann::json(*seen).dump() << '\n';
        return 0;
    }

    int check(const ProveOptions& options)
    {
        Expectation expectation = expectationOf(readPlan(options.plan));
        if (!options.withdrawals.empty())
            expectation.withdrawals = readWithdrawals(options.withdrawals);
        const auto seen = nlohmann::json::parse(contentsOf(options.observations)).get<Observations>();
        std::optional<std::vector<BillLine>> bill;
        if (!options.bill.empty())
            bill = readBill(options.bill);
        const std::vector<Violation> violations = checkAll(seen, expectation, bill);
        const std::vector<std::string> faults = options.faults.empty() ? std::vector<std::string>() : linesOf(options.faults);
        printSummary(std::cout, { seen, expectation, bill, faults, violations });
        return violations.empty() ? 0 : 1;
    }

}

}

int main(int argc, char** argv)
{
    using namespace whinyard::standin;
    CLI::App app("Drives load against a fleet and judges what was seen from outside", "whinyard_prove");
    app.require_subcommand(1);
    ProveOptions options;
    CLI::App* load = app.add_subcommand("load", "drive load and note what was seen");
    load->add_option("--plan", options.plan, "JSON file with instances, endpoints and customers")->required()->check(CLI::ExistingFile);
    load->add_option("--out", options.observations, "where to write what was seen")->required();
    load->add_option("--seconds", options.seconds, "how long to drive load");
    load->add_option("--settle-seconds", options.settleSeconds, "how long to ask for keys that are still open");
    CLI::App* bill = app.add_subcommand("bill", "write the lines of the bill");
    bill->add_option("--platform", options.platform, "the platform's address")->required();
    bill->add_option("--partitions", options.partitions, "of the intent ledger");
    bill->add_option("--out", options.bill, "where to write the lines")->required();
    CLI::App* check = app.add_subcommand("check", "judge what was seen; exits 1 on any violation");
    check->add_option("--plan", options.plan, "the plan of the run")->required()->check(CLI::ExistingFile);
    check->add_option("--observations", options.observations, "what `load` wrote")->required()->check(CLI::ExistingFile);
    check->add_option("--bill", options.bill, "what `bill` wrote")->check(CLI::ExistingFile);
    check->add_option("--faults", options.faults, "a file with a line for each fault")->check(CLI::ExistingFile);
    check->add_option("--withdrawals", options.withdrawals, "a file with a line for each: version and milliseconds since the epoch")->check(CLI::ExistingFile);
    CLI11_PARSE(app, argc, argv);
    try {
        if (load->parsed())
            return whinyard::standin::load(options);
        return bill->parsed() ? whinyard::standin::bill(options) : whinyard::standin::check(options);
    } catch (const nlohmann::json::exception& fault) {
        std::cerr << "whinyard_prove: " << fault.what() << std::endl;
        return 2;
    }
}
