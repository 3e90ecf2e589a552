// bth-entry: the process of one entry host, which answers look-ups and routes callers' requests.
#include "bth/entry/entry_process.h"
#include "bth/shell/files.h"
#include "bth/shell/log.h"
#include "bth/shell/program.h"

#include <memory>
#include <string>

#include <CLI/CLI.hpp>

namespace {

constexpr const char* program = "bth-entry";

int run(const std::string& settings_file)
{
    const auto settings_text = bth::shell::read_file(settings_file);
    if (!settings_text) {
        return bth::shell::fail_start(program, settings_text.error());
    }
    const auto settings = bth::entry::read_settings(settings_file, *settings_text);
    if (!settings) {
        return bth::shell::fail_start(program, to_string(settings.error()));
    }
    const bth::shell::logging_session logging{settings->log};
    boost::asio::io_context context{1};
    const auto process = std::make_shared<bth::entry::entry_process>(context, *settings);
    if (const auto started = process->start(); !started) {
        return bth::shell::fail_start(program, started.error());
    }
    const bth::shell::stop_signal stop{context, [process] {
                                           process->stop();
                                       }};
    bth::shell::announce_ready();
    context.run();
    return bth::shell::exit_ok;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app{"Runs an entry host, which answers look-ups and routes requests to targets"};
    std::string settings_file;
    app.add_option("--settings", settings_file, "Path of the settings file, JSON with comments")
        ->required();
    try {
        app.parse(argc, argv);
    }
    catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? bth::shell::exit_ok : bth::shell::exit_usage;
    }
    return run(settings_file);
}
