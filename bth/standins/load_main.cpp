// bth-load: open-loop callers of every class, with a report.
#include "bth/config/text.h"
#include "bth/shell/files.h"
#include "bth/shell/program.h"
#include "bth/standins/load_caller.h"

#include <iostream>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>

namespace {

constexpr const char* program = "bth-load";

struct options {
    std::string text_file;
    std::vector<std::string> classes;
    std::vector<std::string> lookup_at;
    std::uint64_t length_ms{5000};
    std::uint64_t timeout_ms{2000};
    bool json{};
    bth::standins::load_plan plan;
};

// Reads NAME[:WEIGHT[:KEY]].
bth::standins::class_share read_class(const std::string& text)
{
    bth::standins::class_share row;
    const auto first = text.find(':');
    row.name = text.substr(0, first);
    if (first != std::string::npos) {
        const auto second = text.find(':', first + 1);
        row.weight = std::strtod(text.c_str() + first + 1, nullptr);
        row.key = second == std::string::npos ? "" : text.substr(second + 1);
    }
    return row;
}

tl::expected<bth::standins::load_plan, std::string> make_plan(const options& chosen)
{
    bth::standins::load_plan plan = chosen.plan;
    plan.length = std::chrono::milliseconds{chosen.length_ms};
    plan.timeout = std::chrono::milliseconds{chosen.timeout_ms};
    for (const std::string& text : chosen.classes) {
        plan.classes.push_back(read_class(text));
    }
    if (plan.classes.empty()) {
        plan.classes.push_back({"public", "", 1.0});
    }
    for (const std::string& text : chosen.lookup_at) {
        const auto where = bth::parse_endpoint(text);
        if (!where) {
            return tl::unexpected{"--lookup takes an IPv4 address and port, not \"" + text + "\""};
        }
        plan.lookup_at.push_back(*where);
    }
    return plan;
}

int run(const options& chosen)
{
    const auto text = bth::shell::read_file(chosen.text_file);
    if (!text) {
        return bth::shell::fail_start(program, text.error());
    }
    const auto model = bth::config::read_text(chosen.text_file, *text);
    if (!model) {
        return bth::shell::fail_start(program, to_string(model.error()));
    }
    const auto plan = make_plan(chosen);
    if (!plan) {
        return bth::shell::fail_start(program, plan.error());
    }
    boost::asio::io_context context{1};
    const auto callers =
        std::make_shared<bth::standins::load_callers>(context.get_executor(), *model, *plan);
    callers->start([&context] { context.stop(); });
    context.run();
    std::cout << (chosen.json ? callers->tally().to_json() : callers->tally().to_text());
    const bool wrong = callers->tally().count(bth::standins::call_outcome::wrong_answer) != 0;
    return wrong ? bth::shell::exit_failure : bth::shell::exit_ok;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app{"Open-loop callers; exits 1 if any caller got another's answer"};
    options chosen;
    app.add_option("--text", chosen.text_file, "The operators' text")->required();
    app.add_option("--rate", chosen.plan.requests_per_second, "Requests per second, all together");
    app.add_option("--length-ms", chosen.length_ms, "How long requests begin");
    app.add_option("--timeout-ms", chosen.timeout_ms, "Each caller's timeout");
    app.add_option("--seed", chosen.plan.seed, "Seed of the request mix");
    app.add_option("--post-share", chosen.plan.post_share, "Part of non-repeatable requests");
    app.add_option("--class", chosen.classes, "NAME[:WEIGHT[:KEY]]; repeatable");
    app.add_option("--domain", chosen.plan.domains, "Callers of this failure domain; repeatable");
    app.add_option("--service", chosen.plan.services, "Requests to this service; repeatable");
    app.add_option("--lookup", chosen.lookup_at, "An entry host for look-ups; repeatable");
    app.add_flag("--json", chosen.json, "Print the report as JSON");
    try {
        app.parse(argc, argv);
    }
    catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? bth::shell::exit_ok : bth::shell::exit_usage;
    }
    return run(chosen);
}
