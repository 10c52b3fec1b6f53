// The commands of the command line, with their parsed options.
#pragma once

#include "AdminClient.h"
#include "CommandLine.h"

#include "whinyard/replay/Command.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace whinyard::command {

// `config check FILE`: validates a document without asking anyone.
ExitCode checkConfiguration(const std::string& file, Streams streams);

// `config show`: prints a document with the line that names its revision, ready for editing.
ExitCode showConfiguration(AdminClient& client, std::uint64_t revision, Streams streams);

// `config diff FILE`: prints what the document changes; revision 0 stands for the one in force.
ExitCode diffConfiguration(AdminClient& client, const std::string& file, std::uint64_t from, Streams streams);

// How a change is submitted.
struct ChangeOptions {
    std::optional<std::uint64_t> basedOn; // Else the revision that the file names.
    std::string summary;
    std::string submission; // Empty: a new identity.
};

// `config apply FILE`: submits the document and prints its differences and its outcome.
ExitCode applyConfiguration(AdminClient& client, const std::string& file, const ChangeOptions& options, Streams streams);

// `config rollback REVISION`: submits the document of an earlier revision.
ExitCode rollbackConfiguration(AdminClient& client, std::uint64_t revision, const ChangeOptions& options, Streams streams);

ExitCode configurationHistory(AdminClient& client, std::uint64_t limit, Streams streams);

// `config status`: prints which instances confirm the revision in force; refused while there is no majority.
ExitCode configurationStatus(AdminClient& client, Streams streams);

// What `trace` looks for and how it prints it.
struct TraceOptions {
    std::string request;
    std::string key;
    std::string customer;
    std::string service;
    std::string session;
    std::vector<std::string> logs; // Files of collected logs; then no instance is asked.
    bool json = false;
};

ExitCode trace(AdminClient* client, const TraceOptions& options, Streams streams);

// How `bill` prints: totals as a table or as JSON, or every line as JSON.
enum class BillForm : std::uint8_t {
    table,
    json,
    lines,
};

ExitCode bill(AdminClient& client, const std::string& customer, BillForm form, Streams streams);

// `replay`: replays recorded traces; refused where a stated outcome is missed.
ExitCode replay(const replay::ReplayOptions& options, Streams streams);

}
