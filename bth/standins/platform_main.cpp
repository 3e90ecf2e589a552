// bth-platform: a stand-in for the platform's lagging list.
//
// GET /list is the list; POST /set/NAME/live, /leaving or /gone changes it.
#include "bth/config/text.h"
#include "bth/shell/files.h"
#include "bth/shell/net.h"
#include "bth/shell/program.h"
#include "bth/shell/simple_http.h"
#include "bth/standins/platform_list.h"

#include <array>
#include <string>
#include <utility>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>

namespace {

namespace http = boost::beast::http;
using bth::shell::http_request;
using bth::shell::http_response;
using bth::shell::make_response;
using bth::standins::presence;

constexpr const char* program = "bth-platform";

struct options {
    std::string text_file;
    std::string listen;
    std::uint32_t lag_ms{};
};

constexpr std::array<std::pair<const char*, presence>, 3> presence_names{
    {{"live", presence::live}, {"leaving", presence::leaving}, {"gone", presence::gone}}};

// Carries out /set/NAME/STATE; false if the path says nothing that can be done.
bool change(bth::standins::platform_state& state, const std::string& path)
{
    const std::string prefix = "/set/";
    const auto last = path.rfind('/');
    if (path.compare(0, prefix.size(), prefix) != 0 || last <= prefix.size()) {
        return false;
    }
    const std::string name = path.substr(prefix.size(), last - prefix.size());
    for (const auto& [word, value] : presence_names) {
        if (path.substr(last + 1) == word) {
            return state.set(name, value, bth::shell::monotonic_now());
        }
    }
    return false;
}

http_response answer(bth::standins::platform_state& state, const http_request& request)
{
    const std::string path{request.target()};
    if (request.method() == http::verb::get && path == "/list") {
        return make_response(request, http::status::ok, "application/json",
                             state.list_at(bth::shell::monotonic_now()));
    }
    if (request.method() == http::verb::post && change(state, path)) {
        return make_response(request, http::status::ok, "text/plain", "changed\n");
    }
    return make_response(request, http::status::not_found, "text/plain",
                         "GET /list, or POST /set/NAME/live, /leaving or /gone\n");
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
    const auto where = bth::parse_endpoint(chosen.listen);
    if (!where) {
        return bth::shell::fail_start(program, "--listen takes an IPv4 address and port");
    }
    boost::asio::io_context context{1};
    auto acceptor = bth::shell::listen_on(context.get_executor(), *where);
    if (!acceptor) {
        return bth::shell::fail_start(program, acceptor.error());
    }
    bth::standins::platform_state state{*model, std::chrono::milliseconds{chosen.lag_ms}};
    const auto server = std::make_shared<bth::shell::http_server>(
        std::move(*acceptor),
        [&state](http_request request) -> boost::asio::awaitable<http_response> {
            co_return answer(state, request);
        });
    server->start();
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
    CLI::App app{"A stand-in for the platform's list of live and leaving hosts and targets"};
    options chosen;
    app.add_option("--text", chosen.text_file, "The operators' text")->required();
    app.add_option("--listen", chosen.listen, "Where to listen, such as 127.0.0.1:6000")
        ->required();
    app.add_option("--lag-ms", chosen.lag_ms, "How long a change takes to show");
    try {
        app.parse(argc, argv);
    }
    catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? bth::shell::exit_ok : bth::shell::exit_usage;
    }
    return run(chosen);
}
