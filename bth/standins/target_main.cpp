// bth-target: stand-ins for the targets of a text, all in one process.
#include "bth/config/text.h"
#include "bth/shell/files.h"
#include "bth/shell/net.h"
#include "bth/shell/program.h"
#include "bth/standins/target_server.h"

#include <algorithm>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>

namespace {

constexpr const char* program = "bth-target";

struct options {
    std::string text_file;
    std::vector<std::string> domains;
    std::vector<std::string> targets;
    std::string behaviour_file;
};

bool is_chosen(const std::vector<std::string>& names, const std::string& name)
{
    return names.empty() || std::find(names.begin(), names.end(), name) != names.end();
}

tl::expected<bth::config::model, std::string> read_model(const std::string& path)
{
    const auto text = bth::shell::read_file(path);
    if (!text) {
        return tl::unexpected{text.error()};
    }
    auto model = bth::config::read_text(path, *text);
    if (!model) {
        return tl::unexpected{to_string(model.error())};
    }
    return std::move(*model);
}

tl::expected<bth::standins::behaviour, std::string> read_behaviour_file(const std::string& path)
{
    if (path.empty()) {
        return bth::standins::behaviour{};
    }
    const auto text = bth::shell::read_file(path);
    if (!text) {
        return tl::unexpected{text.error()};
    }
    bth::findings found;
    const auto how = bth::standins::read_behaviour(path, *text, found);
    if (!how) {
        return tl::unexpected{to_string(found)};
    }
    return *how;
}

bth::standins::target_settings settings_of(const bth::config::model& model,
                                           const bth::config::target& row,
                                           const bth::standins::behaviour& how)
{
    const auto& service = model.at(row.service);
    return {row.name, service.name, row.slots, service.service_time, service.answer_bytes, how};
}

int run(const options& chosen)
{
    const auto model = read_model(chosen.text_file);
    if (!model) {
        return bth::shell::fail_start(program, model.error());
    }
    const auto how = read_behaviour_file(chosen.behaviour_file);
    if (!how) {
        return bth::shell::fail_start(program, how.error());
    }
    boost::asio::io_context context{1};
    for (const auto& row : model->targets) {
        if (!is_chosen(chosen.domains, model->at(row.domain).name) ||
            !is_chosen(chosen.targets, row.name)) {
            continue;
        }
        auto acceptor = bth::shell::listen_on(context.get_executor(), row.http);
        if (!acceptor) {
            return bth::shell::fail_start(program, acceptor.error());
        }
        std::make_shared<bth::standins::target_server>(std::move(*acceptor),
                                                       settings_of(*model, row, *how))
            ->start();
    }
    const bth::shell::stop_signal stop{context, [&context] {
                                           context.stop();
                                       }};
    bth::shell::announce_ready();
    context.run();
    return bth::shell::exit_ok;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app{"Stand-ins for the targets of a text"};
    options chosen;
    app.add_option("--text", chosen.text_file, "The operators' text")->required();
    app.add_option("--domain", chosen.domains, "Only targets of this failure domain; repeatable");
    app.add_option("--target", chosen.targets, "Only the target of this name; repeatable");
    app.add_option("--behaviour", chosen.behaviour_file, "How they misbehave, as JSON");
    try {
        app.parse(argc, argv);
    }
    catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? bth::shell::exit_ok : bth::shell::exit_usage;
    }
    return run(chosen);
}
