#include "CommandLine.h"

#include "whinyard/admin/AdminApi.h"
#include "whinyard/admin/FakeParts.h"
#include "whinyard/net/HttpServer.h"

#include <cstdlib>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>
#include <unistd.h>

namespace whinyard::command {

namespace {

    constexpr const char* document = R"({ "versions": [ { "name": "a-1", "model": "a", "costPerThousandTokens": 1 } ], "customers": [] })";

    // The command line against an administration API on loopback.
    class CommandLineTest : public testing::Test {
    protected:
        CommandLineTest()
        {
            setenv("WHINYARD_OPERATOR_KEY", "jana-key-of-16-bytes", 1);
            net::runOn(duty, [&] {
                Failure failure;
                server = net::HttpServer::open(
                    duty, { "127.0.0.1", 0 }, {}, [this](const net::HttpRequest& request, net::HttpResponder& responder) { responder.send(api.answer(request)); }, failure);
                address = net::toText(server->address());
            });
        }

        ~CommandLineTest() override
        {
            net::runOn(duty, [&] {
                server->close();
                server.reset();
            });
            unsetenv("WHINYARD_OPERATOR_KEY");
        }

        static std::vector<admin::Operator> operators()
        {
            auto operators = admin::FakeParts::operators();
            operators[0].keyDigest = config::keyDigest(operators[0].keySalt, "jana-key-of-16-bytes");
            return operators;
        }

        int run(std::vector<std::string> arguments)
        {
            out.str("");
            err.str("");
            return static_cast<int>(runCommandLine(std::move(arguments), { out, err }));
        }

        // Runs a command that asks the API; the first address answers nothing.
        int ask(std::vector<std::string> arguments)
        {
            arguments.insert(arguments.end(), { "--admin", "127.0.0.1:1", "--admin", address, "--operator", "jana" });
            return run(std::move(arguments));
        }

        // In a place of this process's own: tests that run beside each other use the same names.
        std::string file(const std::string& name, const std::string& text)
        {
            const std::string path = testing::TempDir() + "whinyard-" + std::to_string(::getpid()) + "-" + name;
            std::ofstream(path) << text;
            return path;
        }

        admin::FakeParts fakes;
        admin::AdminApi api { fakes.parts(), operators() };
        net::Duty duty { "admin" };
        std::unique_ptr<net::HttpServer> server;
        std::string address;
        std::ostringstream out;
        std::ostringstream err;
    };

}

TEST_F(CommandLineTest, UsageAndInput)
{
    EXPECT_EQ(run({ "--version" }), 0);
    EXPECT_EQ(out.str().find("whinyard "), 0U) << out.str();
    EXPECT_EQ(run({ "config", "--help" }), 0);
    EXPECT_NE(out.str().find("rollback"), std::string::npos) << out.str();
    EXPECT_EQ(run({}), 2);
    EXPECT_EQ(run({ "config", "nothing" }), 2);
    EXPECT_EQ(run({ "config", "history" }), 2);
    EXPECT_EQ(err.str(), "give --admin and --operator, or set WHINYARD_ADMIN and WHINYARD_OPERATOR\n");
    EXPECT_EQ(run({ "replay" }), 2);
    EXPECT_EQ(run({ "replay", "/nowhere.jsonl" }), 1) << err.str();
    EXPECT_EQ(run({ "replay", "--generate", "nothing" }), 1) << err.str();
    unsetenv("WHINYARD_OPERATOR_KEY");
    EXPECT_EQ(ask({ "config", "history" }), 2);
    EXPECT_EQ(err.str(), "no key: give --key-file or set WHINYARD_OPERATOR_KEY\n");
    setenv("WHINYARD_OPERATOR_KEY", "another-key-of-bytes", 1);
    EXPECT_EQ(ask({ "config", "history" }), 1);
    EXPECT_EQ(err.str().find("unauthenticated"), 0U) << err.str();
}

TEST_F(CommandLineTest, CheckNamesFilePathAndRule)
{
    EXPECT_EQ(run({ "config", "check", std::string(WHINYARD_SAMPLES) + "/1-praxeo/configuration.json" }), 0) << err.str();
    const std::string wrong = file("wrong.json", R"({"versions": [], "customers": [], "rollouts": [ { "model": "a", "from": "a-1", "to": "a-2", "share": 2 } ]})");
    EXPECT_EQ(run({ "config", "check", wrong }), 2);
    EXPECT_EQ(err.str(), wrong + ": /rollouts/0/share: found 2; allowed: a number from 0 to 1\n");
    EXPECT_EQ(run({ "config", "check", "/nowhere" }), 2);
}

TEST_F(CommandLineTest, ADocumentGoesFromApplyToRollback)
{
    const std::string first = file("first.json", document);
    EXPECT_EQ(ask({ "config", "apply", first }), 2) << "nothing says what it was made from";
    EXPECT_EQ(ask({ "config", "apply", first, "--based-on", "0", "--summary", "first & only" }), 0) << err.str();
    EXPECT_EQ(out.str(), "accepted as revision 1, confirmed by 1 of 1\n");

    EXPECT_EQ(ask({ "config", "show" }), 0) << err.str();
    std::string shown = out.str();
    EXPECT_EQ(shown.find("// whinyard revision 1\n"), 0U) << shown;
    const std::string cost = "\"costPerThousandTokens\": 1.0";
    shown.replace(shown.find(cost), cost.size(), "\"costPerThousandTokens\": 3");
    const std::string second = file("second.json", shown);
    EXPECT_EQ(ask({ "config", "diff", second }), 0) << err.str();
    EXPECT_NE(out.str().find("  changed /versions/a-1/costPerThousandTokens: 1.0 -> 3.0\n"), std::string::npos) << out.str();
    EXPECT_EQ(ask({ "config", "apply", second }), 0) << err.str();

    EXPECT_EQ(ask({ "config", "apply", first, "--based-on", "1" }), 1);
    EXPECT_EQ(err.str().find("conflict: jana made revision 2 meanwhile; nothing was changed\ntheirs:\n  changed /versions/a-1/costPerThousandTokens"), 0U) << err.str();
    EXPECT_EQ(ask({ "config", "rollback", "1" }), 0) << err.str();
    EXPECT_EQ(out.str(), "accepted as revision 3, confirmed by 1 of 1\n");
    EXPECT_EQ(ask({ "config", "history" }), 0) << err.str();
    EXPECT_NE(out.str().find("rollback to revision 1"), std::string::npos) << out.str();
    EXPECT_NE(out.str().find("first & only"), std::string::npos) << out.str();

    fakes.fleet.entries = { { { "entry-1" }, { "zilina-a" }, "alive", 3 }, { { "entry-2" }, { "zilina-b" }, "alive", 2 } };
    EXPECT_EQ(ask({ "config", "status" }), 1) << "one of two is no majority";
    EXPECT_EQ(out.str().find("revision 3: 1 of 2 instances confirm it; not yet accepted\n"), 0U) << out.str();
}

TEST_F(CommandLineTest, AWrittenChangeIsToldWithItsSubmission)
{
    fakes.fleet.entries = { { { "entry-1" }, { "zilina-a" }, "alive", 1 }, { { "entry-2" }, { "zilina-b" }, "alive", 0 } };
    const std::vector<std::string> change { "config", "apply", file("first.json", document), "--based-on", "0", "--submission", "s-1" };
    EXPECT_EQ(ask(change), 1);
    EXPECT_EQ(out.str(), "written as revision 1, confirmed by 1 of 2\n");
    EXPECT_EQ(err.str(), "not yet accepted, and not reverted: ask `whinyard config status`, or repeat with --submission s-1 --based-on 0\n");
    fakes.fleet.entries[1].revision = 1;
    EXPECT_EQ(ask(change), 0) << err.str();
    EXPECT_EQ(out.str(), "accepted as revision 1, confirmed by 2 of 2\n");
    EXPECT_EQ(ask({ "config", "status" }), 0) << err.str();
}

TEST_F(CommandLineTest, TraceIsTheSameFromLogsAndFromTheFleet)
{
    Event event;
    event.request = { 7, 1 };
    event.instance.value = "entry-1";
    event.at.physical = std::chrono::microseconds(1'767'225'600'000'001);
    std::string log = "{\"message\":\"started\"}\n";
    for (const EventKind kind : { EventKind::requestArrived, EventKind::answerCompleted }) {
        event.kind = kind;
        ++event.at.logical;
        fakes.traces.material.events.push_back(event);
        log += toJsonLine(event) + "\n";
    }
    const std::string id = toText(event.request);
    EXPECT_EQ(ask({ "trace", id }), 0) << err.str();
    const std::string fromFleet = out.str();
    EXPECT_EQ(fromFleet.find("answered whole, 0 bytes; no bill line recorded\n"), 0U) << fromFleet;
    EXPECT_EQ(run({ "trace", id, "--logs", file("log.json", log), file("log.json", log) }), 0) << err.str();
    EXPECT_EQ(out.str(), fromFleet);
    EXPECT_EQ(run({ "trace", "00000000000000070000000000000002", "--logs", file("log.json", log) }), 1);
    EXPECT_EQ(ask({ "trace" }), 2);
    EXPECT_EQ(ask({ "trace", "--key", "k" }), 2);
}

TEST_F(CommandLineTest, BillPrintsTotalsAndWhatIsMissing)
{
    fakes.bills.sum.totals = { { { "faculty" }, "placement", 2, 10'000, 12'000, 0 } };
    EXPECT_EQ(ask({ "bill" }), 0) << err.str();
    EXPECT_NE(out.str().find("faculty           placement                 2          10.000          12.000"), std::string::npos) << out.str();
    fakes.bills.sum.faults = { "usage/entry-1/7/3" };
    EXPECT_EQ(ask({ "bill", "--json" }), 1);
    EXPECT_NE(err.str().find("usage/entry-1/7/3"), std::string::npos) << err.str();
}

}
