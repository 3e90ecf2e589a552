#include "bth/entry/settings.h"

#include "bth/config/json_reader.h"

#include <utility>

namespace bth::entry {

namespace {

constexpr std::uint64_t most_connections = 1'000'000;
constexpr std::uint64_t most_body_bytes = 1ULL << 40U;
constexpr std::uint64_t most_header_bytes = 1ULL << 20U;
constexpr std::uint64_t most_ms = 3'600'000;

void read_limits(config::json_object& root, const config::json_document& document, findings& found,
                 caller_limits& limits)
{
    const Json::Value* value = root.optional_value("limits");
    if (value == nullptr) {
        return;
    }
    config::json_object at{*value, document, found};
    limits.header_bytes = static_cast<std::uint32_t>(
        at.integer_or("header_bytes", 256, most_header_bytes, limits.header_bytes));
    limits.body_bytes = at.integer_or("body_bytes", 0, most_body_bytes, limits.body_bytes);
    limits.connections = static_cast<std::uint32_t>(
        at.integer_or("connections", 1, most_connections, limits.connections));
    limits.idle = std::chrono::milliseconds{
        at.integer_or("idle_ms", 1, most_ms, static_cast<std::uint64_t>(limits.idle.count()))};
    at.finish();
}

void read_control(config::json_object& root, findings& found, std::vector<endpoint>& control)
{
    for (const std::string& text : root.strings("control")) {
        if (const auto where = parse_endpoint(text)) {
            control.push_back(*where);
        }
        else {
            found.add(root.place_of("control"), "\"" + text + "\" is no address and port",
                      "such as 127.0.0.1:9300");
        }
    }
}

void read_seed(const Json::Value& value, const config::json_document& document, findings& found,
               std::vector<seed_host>& seeds)
{
    config::json_object at{value, document, found};
    seed_host row;
    row.host = at.required_string("host").value_or("");
    row.peer = at.required_endpoint("peer").value_or(endpoint{});
    at.finish();
    seeds.push_back(std::move(row));
}

// Without a text file the settings tell where the host stands.
void read_place(config::json_object& root, const config::json_document& document, findings& found,
                entry_settings& out)
{
    root.each("seeds",
              [&](const Json::Value& value) { read_seed(value, document, found, out.seeds); });
    if (!out.text_file.empty()) {
        return;
    }
    if (!root.has("failure_domain")) {
        root.report("failure_domain", "neither \"text_file\" nor \"failure_domain\" is given",
                    "a text file, or failure_domain, http and peer with the text from control");
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
    read_place(root, *document, found, out);
    read_control(root, found, out.control);
    out.data_folder = root.string_or("data_folder", "");
    out.platform = root.optional_endpoint("platform");
    out.admin = root.optional_endpoint("admin");
    out.poll_interval = std::chrono::milliseconds{root.integer_or(
        "poll_ms", 10, most_ms, static_cast<std::uint64_t>(out.poll_interval.count()))};
    read_limits(root, *document, found, out.limits);
    out.log = shell::read_log_settings(root, *document, found);
    root.finish();
    if (!found.empty()) {
        return tl::unexpected{found};
    }
    return out;
}

} // namespace bth::entry
