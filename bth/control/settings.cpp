#include "bth/control/settings.h"

#include "bth/config/json_reader.h"

#include <algorithm>
#include <utility>

namespace bth::control {

namespace {

constexpr std::uint64_t most_ids_kept = 1'000'000;

control_member read_member(const Json::Value& value, const config::json_document& document,
                           findings& found)
{
    config::json_object at{value, document, found};
    control_member out;
    out.host = at.required_string("host").value_or("");
    out.peer = at.required_endpoint("peer").value_or(endpoint{});
    out.http = at.required_endpoint("http").value_or(endpoint{});
    at.finish();
    return out;
}

void check_members(config::json_object& root, const control_settings& settings)
{
    const auto named =
        std::count_if(settings.members.begin(), settings.members.end(),
                      [&](const control_member& each) { return each.host == settings.host; });
    if (named != 1) {
        root.report("members", "\"members\" names this host " + std::to_string(named) + " times",
                    "all control hosts, each once, with this one");
    }
}

} // namespace

tl::expected<control_settings, findings> read_control_settings(std::string file, std::string text)
{
    findings found;
    const auto document = config::json_document::parse(std::move(file), std::move(text), found);
    if (!document) {
        return tl::unexpected{std::move(found)};
    }
    config::json_object root{document->root(), *document, found};
    control_settings out;
    out.host = root.required_string("host").value_or("");
    out.data_folder = root.required_string("data_folder").value_or("");
    out.http = root.required_endpoint("http").value_or(endpoint{});
    out.peer = root.required_endpoint("peer").value_or(endpoint{});
    root.each("members", [&](const Json::Value& value) {
        out.members.push_back(read_member(value, *document, found));
    });
    out.ids_kept =
        static_cast<std::uint32_t>(root.integer_or("ids_kept", 1, most_ids_kept, out.ids_kept));
    out.log = shell::read_log_settings(root, *document, found);
    check_members(root, out);
    root.finish();
    if (!found.empty()) {
        return tl::unexpected{std::move(found)};
    }
    return out;
}

} // namespace bth::control
