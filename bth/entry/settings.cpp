#include "bth/entry/settings.h"

#include "bth/config/json_reader.h"

#include <utility>

namespace bth::entry {

namespace {

constexpr std::uint64_t max_connections = 1'000'000;
constexpr std::uint64_t max_body_bytes = 1ULL << 40U;
constexpr std::uint64_t max_header_bytes = 1ULL << 20U;
constexpr std::uint64_t max_ms = 3'600'000;

void read_limits(config::json_object& root, const config::json_document& document, findings& found,
                 caller_limits& limits)
{
    const Json::Value* value = root.optional_value("limits");
    if (value == nullptr) {
        return;
    }
    config::json_object object{*value, document, found};
    limits.header_bytes = static_cast<std::uint32_t>(
        object.integer_or("header_bytes", 256, max_header_bytes, limits.header_bytes));
    limits.body_bytes = object.integer_or("body_bytes", 0, max_body_bytes, limits.body_bytes);
    limits.connections = static_cast<std::uint32_t>(
        object.integer_or("connections", 1, max_connections, limits.connections));
    limits.idle = std::chrono::milliseconds{
        object.integer_or("idle_ms", 1, max_ms, static_cast<std::uint64_t>(limits.idle.count()))};
    object.finish();
}

void read_control(config::json_object& root, findings& found, std::vector<endpoint>& control)
{
    for (const std::string& text : root.strings("control")) {
        if (const auto address = parse_endpoint(text)) {
            control.push_back(*address);
        }
        else {
            found.add(root.place_of("control"),
                      "\"" + text + "\" in \"control\" is not of the form ADDRESS:PORT",
                      "an address such as 127.0.0.1:9300");
        }
    }
}

void read_seed(const Json::Value& value, const config::json_document& document, findings& found,
               std::vector<seed_host>& seeds)
{
    config::json_object object{value, document, found};
    seed_host seed;
    seed.host = object.required_string("host").value_or("");
    seed.peer = object.required_endpoint("peer").value_or(endpoint{});
    object.finish();
    seeds.push_back(std::move(seed));
}

// Reads the seed hosts and, unless a text file is given, the failure domain and addresses of this
// host.
void read_location(config::json_object& root, const config::json_document& document,
                   findings& found, entry_settings& out)
{
    root.each("seeds",
              [&](const Json::Value& value) { read_seed(value, document, found, out.seeds); });
    if (!out.text_file.empty()) {
        return;
    }
    if (!root.has("failure_domain")) {
        root.report("failure_domain", "neither \"text_file\" nor \"failure_domain\" is given",
                    "text_file for a configuration in a file, or failure_domain, http and peer for "
                    "one from control");
        return;
    }
    out.failure_domain = root.required_string("failure_domain").value_or("");
    out.http = root.required_endpoint("http").value_or(endpoint{});
    out.peer = root.required_endpoint("peer").value_or(endpoint{});
}

} // namespace

tl::expected<entry_settings, findings> read_settings(std::string file, std::string text)
{
    findings found;
    const auto document = config::json_document::parse(std::move(file), std::move(text), found);
    if (!document) {
        return tl::unexpected{found};
    }
    config::json_object root{document->root(), *document, found};
    entry_settings out;
    out.host = root.required_string("host").value_or("");
    out.text_file = root.string_or("text_file", "");
    read_location(root, *document, found, out);
    read_control(root, found, out.control);
    out.data_folder = root.string_or("data_folder", "");
    out.platform = root.optional_endpoint("platform");
    out.admin = root.optional_endpoint("admin");
    out.poll_interval = std::chrono::milliseconds{root.integer_or(
        "poll_ms", 10, max_ms, static_cast<std::uint64_t>(out.poll_interval.count()))};
    read_limits(root, *document, found, out.limits);
    out.log = shell::read_log_settings(root, *document, found);
    root.finish();
    if (!found.empty()) {
        return tl::unexpected{found};
    }
    return out;
}

} // namespace bth::entry
