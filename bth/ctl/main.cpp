// bthctl: the operators' command.
#include "bth/ctl/commands.h"
#include "bth/ctl/time_text.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <iostream>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <CLI/CLI.hpp>

namespace {

using bth::control::drain_change;
using bth::control::undrain_change;
using bth::ctl::exit_code;

// What stands on the command line, before it is checked.
struct arguments {
    std::vector<std::string> control;
    std::vector<std::string> entries;
    std::uint64_t timeout_ms{10'000};
    bool json{};
    bth::ctl::edit_options edit;
    std::string file;
    std::string kind;
    std::string name;
    std::string from{"0"};
    std::string service;
};

const char* const drain_kinds = "target, host, failure-domain or region";

std::string check_endpoint(const std::string& text)
{
    return bth::parse_endpoint(text) ? "" : "takes an IPv4 address and port such as 127.1.0.1:8080";
}

std::string check_time(const std::string& text)
{
    return bth::ctl::parse_wall_time(text)
               ? ""
               : "takes a time such as 2026-12-04T08:00:00Z, or milliseconds since 1970 (UTC)";
}

// "failure-domain" is taken for "failure_domain".
std::optional<bth::control::drain_kind> kind_of(std::string name)
{
    std::replace(name.begin(), name.end(), '-', '_');
    return bth::control::parse_drain_kind(name);
}

std::string check_kind(const std::string& text)
{
    return kind_of(text) ? "" : std::string{"takes one of "} + drain_kinds;
}

std::vector<bth::endpoint> endpoints_of(const std::vector<std::string>& texts)
{
    std::vector<bth::endpoint> out;
    out.reserve(texts.size());
    for (const std::string& text : texts) {
        out.push_back(bth::parse_endpoint(text).value_or(bth::endpoint{}));
    }
    return out;
}

bth::ctl::common_options common_of(const arguments& given)
{
    using bth::ctl::output_form;
    return {endpoints_of(given.control), std::chrono::milliseconds{given.timeout_ms},
            given.json ? output_form::json : output_form::text};
}

void add_control_options(CLI::App& command, arguments& given)
{
    command
        .add_option("--control", given.control,
                    "Control hosts as IP:PORT, tried in turn (or BTH_CONTROL, with commas)")
        ->check(check_endpoint)
        ->envname("BTH_CONTROL")
        ->delimiter(',');
    command.add_option("--timeout-ms", given.timeout_ms, "Time for each step of the command");
    command.add_flag("--json", given.json, "Print JSON");
}

void add_edit_options(CLI::App& command, arguments& given, bool version_required)
{
    command.add_option("--edit-id", given.edit.edit_id, "The id of the edit, also of its resends");
    command.add_option("--author", given.edit.author, "Who sends the edit")->envname("USER");
    command.add_flag("--wait", given.edit.wait, "Wait until all hosts have it in force");
    command
        .add_option("--expect-version", given.edit.expected_version,
                    "The version that the edit was made for")
        ->required(version_required);
}

void add_drain_arguments(CLI::App& command, arguments& given)
{
    command.add_option("kind", given.kind, drain_kinds)->required()->check(check_kind);
    command.add_option("name", given.name, "Its name in the text")->required();
}

exit_code run_drain(const arguments& given)
{
    return run_drain_edit(
        common_of(given), given.edit,
        drain_change{*kind_of(given.kind), given.name, *bth::ctl::parse_wall_time(given.from)});
}

exit_code run_undrain(const arguments& given)
{
    return run_drain_edit(common_of(given), given.edit,
                          undrain_change{*kind_of(given.kind), given.name});
}

// The commands of the program and what each runs.
class command_line {
public:
    command_line();

    exit_code run(int count, char** values);

private:
    using action = std::function<exit_code()>;

    CLI::App& add(const char* name, const char* help, action run);
    exit_code run_chosen();

    CLI::App app{"Checks, submits and shows the operators' text."};
    arguments given;
    std::vector<std::pair<CLI::App*, action>> commands;
};

CLI::App& command_line::add(const char* name, const char* help, action run)
{
    CLI::App* command = this->app.add_subcommand(name, help);
    this->commands.emplace_back(command, std::move(run));
    add_control_options(*command, this->given);
    return *command;
}

command_line::command_line()
{
    arguments& in = this->given;
    this->app.require_subcommand(1);
    this->add("check", "Check a text; no control host is asked",
              [&in] { return run_check(common_of(in), in.file); })
        .add_option("file", in.file, "The text")
        ->required();
    CLI::App& submit = this->add("submit", "Submit a whole text",
                                 [&in] { return run_submit(common_of(in), in.edit, in.file); });
    submit.add_option("file", in.file, "The text")->required();
    add_edit_options(submit, in, true);
    this->add("show", "Print the accepted text", [&in] { return run_show(common_of(in)); });
    this->add("status", "Print what each control host knows",
              [&in] { return run_status(common_of(in)); });
    CLI::App& drain = this->add("drain", "Announce a drain", [&in] { return run_drain(in); });
    add_drain_arguments(drain, in);
    drain.add_option("--from", in.from, "When it starts; at once if left out")->check(check_time);
    add_edit_options(drain, in, false);
    CLI::App& undrain =
        this->add("undrain", "Take a drain back", [&in] { return run_undrain(in); });
    add_drain_arguments(undrain, in);
    add_edit_options(undrain, in, false);
    CLI::App& lookup = this->add("lookup", "Ask entry hosts which of them to use", [&in] {
        return run_lookup(common_of(in), endpoints_of(in.entries), in.service);
    });
    lookup.add_option("service", in.service, "The service")->required();
    lookup.add_option("--entry", in.entries, "Entry hosts as IP:PORT, tried in turn")
        ->check(check_endpoint)
        ->delimiter(',');
}

exit_code command_line::run_chosen()
{
    for (const auto& [command, run] : this->commands) {
        if (command->parsed()) {
            const bool local = command->get_name() == "check" || !this->given.entries.empty();
            if (this->given.control.empty() && !local) {
                std::cerr << "bthctl: no control host; give --control or BTH_CONTROL\n";
                return exit_code::usage;
            }
            return run();
        }
    }
    return exit_code::usage;
}

exit_code command_line::run(int count, char** values)
{
    try {
        this->app.parse(count, values);
    }
    catch (const CLI::ParseError& error) {
        return this->app.exit(error) == 0 ? exit_code::ok : exit_code::usage;
    }
    return this->run_chosen();
}

} // namespace

int main(int count, char** values)
{
    command_line commands;
    return bth::ctl::to_int(commands.run(count, values));
}
