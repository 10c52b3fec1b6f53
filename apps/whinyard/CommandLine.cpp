#include "CommandLine.h"

#include "Commands.h"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <functional>
#include <memory>

namespace whinyard::command {

namespace {

    constexpr std::uint64_t defaultHistory = 20;
    constexpr const char* footer = "Exit codes: 0 done, 1 refused or not found, 2 wrong usage or invalid input.\n"
                                   "The operator's key comes from --key-file or WHINYARD_OPERATOR_KEY.";

    // The options of all commands, and the command that was chosen.
    class Program {
    public:
        explicit Program(Streams streams)
            : m_streams(streams)
            , m_app("whinyard: configuration, time lines and bills of a whinyard fleet", "whinyard")
        {
            m_app.set_version_flag("--version", "whinyard " WHINYARD_VERSION);
            m_app.require_subcommand(1);
            m_app.footer(footer);
            addConfig();
            addTrace();
            addBill();
            addReplay();
        }

        ExitCode run(std::vector<std::string> arguments)
        {
            std::reverse(arguments.begin(), arguments.end()); // CLI11 takes them from the back.
            try {
                m_app.parse(arguments);
            } catch (const CLI::ParseError& error) {
                return m_app.exit(error, m_streams.out, m_streams.err) == 0 ? ExitCode::done : ExitCode::invalid;
            }
            return m_chosen();
        }

    private:
        using Asking = std::function<ExitCode(AdminClient&)>;

        void addConnection(CLI::App& command)
        {
            command.add_option("--admin", m_connection.instances, "administration address of an instance; several are tried in order")->envname("WHINYARD_ADMIN")->delimiter(',');
            command.add_option("--operator", m_connection.operatorName, "the operator's name")->envname("WHINYARD_OPERATOR");
            command.add_option("--key-file", m_connection.keyFile, "file that holds the operator's key");
        }

        void choose(CLI::App& command, std::function<ExitCode()> action)
        {
            command.callback([this, action = std::move(action)] { m_chosen = action; });
        }

        // Chooses a command that asks the fleet.
        void chooseAsking(CLI::App& command, Asking action)
        {
            addConnection(command);
            choose(command, [this, action = std::move(action)] { return ask(action); });
        }

        ExitCode ask(const Asking& action)
        {
            Failure failure;
            if (m_connection.instances.empty() || m_connection.operatorName.empty()) {
                m_streams.err << "give --admin and --operator, or set WHINYARD_ADMIN and WHINYARD_OPERATOR\n";
                return ExitCode::invalid;
            }
            const auto connection = parseConnection(m_connection, failure);
            if (!connection) {
                m_streams.err << failure.reason << "\n";
                return ExitCode::invalid;
            }
            AdminClient client(*connection);
            return action(client);
        }

        void addConfig()
        {
            CLI::App& config = *m_app.add_subcommand("config", "check, compare, submit and roll back the configuration");
            config.require_subcommand(1);
            addReading(config);
            addChanging(config);
        }

        void addReading(CLI::App& config)
        {
            CLI::App& check = *config.add_subcommand("check", "validate a document; asks no instance");
            check.add_option("FILE", m_file, "document, JSON with comments")->required();
            choose(check, [this] { return checkConfiguration(m_file, m_streams); });

            CLI::App& show = *config.add_subcommand("show", "print the document in force, ready for editing");
            show.add_option("--revision", m_revision, "an earlier revision");
            chooseAsking(show, [this](AdminClient& client) { return showConfiguration(client, m_revision, m_streams); });

            CLI::App& diff = *config.add_subcommand("diff", "print what a document changes");
            diff.add_option("FILE", m_file, "document, JSON with comments")->required();
            diff.add_option("--from", m_revision, "compare with this revision instead of the one in force");
            chooseAsking(diff, [this](AdminClient& client) { return diffConfiguration(client, m_file, m_revision, m_streams); });

            CLI::App& history = *config.add_subcommand("history", "list the revisions, the newest first");
            history.add_option("--limit", m_limit, "how many");
            chooseAsking(history, [this](AdminClient& client) { return configurationHistory(client, m_limit, m_streams); });

            CLI::App& status = *config.add_subcommand("status", "print which instances confirm the revision in force");
            chooseAsking(status, [this](AdminClient& client) { return configurationStatus(client, m_streams); });
        }

        void addChanging(CLI::App& config)
        {
            CLI::App& apply = *config.add_subcommand("apply", "submit a document");
            apply.add_option("FILE", m_file, "document, JSON with comments")->required();
            addChange(apply);
            chooseAsking(apply, [this](AdminClient& client) { return applyConfiguration(client, m_file, m_change, m_streams); });

            CLI::App& rollback = *config.add_subcommand("rollback", "submit the document of an earlier revision as a new one");
            rollback.add_option("REVISION", m_revision, "the earlier revision")->required();
            addChange(rollback);
            chooseAsking(rollback, [this](AdminClient& client) { return rollbackConfiguration(client, m_revision, m_change, m_streams); });
        }

        void addChange(CLI::App& command)
        {
            command.add_option("--based-on", m_change.basedOn, "the revision that the change was made from");
            command.add_option("--summary", m_change.summary, "what the change is for");
            command.add_option("--submission", m_change.submission, "identity of an earlier try whose outcome isn't known");
        }

        void addTrace()
        {
            CLI::App& command = *m_app.add_subcommand("trace", "tell what became of a request");
            command.add_option("REQUEST", m_trace.request, "request identity, as the answer's X-Whinyard-Request field gives it");
            command.add_option("--key", m_trace.key, "the caller's idempotency key; needs --customer and --service, with --logs the key's digest alone");
            command.add_option("--customer", m_trace.customer, "the customer that called");
            command.add_option("--service", m_trace.service, "the plain service that was called");
            command.add_option("--session", m_trace.session, "a session");
            command.add_option("--logs", m_trace.logs, "rebuild the time line from these log files alone");
            command.add_flag("--json", m_trace.json, "print JSON");
            addConnection(command);
            choose(command, [this] {
                if (!m_trace.logs.empty())
                    return trace(nullptr, m_trace, m_streams);
                return ask([this](AdminClient& client) { return trace(&client, m_trace, m_streams); });
            });
        }

        void addBill()
        {
            CLI::App& command = *m_app.add_subcommand("bill", "add up the bill lines, each request once");
            command.add_option("--customer", m_customer, "only this customer");
            CLI::Option& json = *command.add_flag("--json", m_json, "print the totals as JSON");
            command.add_flag("--lines", m_lines, "print every line as JSON")->excludes(&json);
            chooseAsking(command, [this](AdminClient& client) { return bill(client, m_customer, billForm(), m_streams); });
        }

        BillForm billForm() const
        {
            if (m_lines)
                return BillForm::lines;
            return m_json ? BillForm::json : BillForm::table;
        }

        void addReplay()
        {
            CLI::App& command = *m_app.add_subcommand("replay", "run recorded traces against their stated outcomes");
            CLI::Option_group& what = *command.add_option_group("what");
            what.add_option("TRACE", m_replay.trace, "trace to replay; outcomes beside it (x.outcomes.json) are checked");
            what.add_option("--generate", m_replay.generate, "print the trace of this name");
            what.add_option("--name", m_replay.name, "generate and replay the trace of this name with many seeds");
            what.require_option(1);
            command.add_option("--outcomes", m_replay.outcomes, "outcomes that don't stand beside the trace");
            command.add_option("--seed", m_replay.seed, "of the trace to print, or of the chances of the replay")->capture_default_str();
            command.add_option("--seeds", m_replay.seeds, "how many, with --name")->capture_default_str();
            choose(command, [this] { return replay(m_replay, m_streams); });
        }

        Streams m_streams;
        CLI::App m_app;
        std::function<ExitCode()> m_chosen;
        ConnectionOptions m_connection;
        ChangeOptions m_change;
        TraceOptions m_trace;
        replay::ReplayOptions m_replay;
        std::string m_file;
        std::string m_customer;
        std::uint64_t m_revision = 0;
        std::uint64_t m_limit = defaultHistory;
        bool m_json = false;
        bool m_lines = false;
    };

}

ExitCode runCommandLine(std::vector<std::string> arguments, Streams streams)
{
    return Program(streams).run(std::move(arguments));
}

}
