#include "bth/standins/platform_list.h"

#include <json/value.h>
#include <json/writer.h>

namespace bth::standins {

platform_state::platform_state(const config::model& model, duration lag) : lag{lag}
{
    for (const auto& host : model.hosts) {
        this->rows[host.name] = {true, presence::live};
    }
    for (const auto& target : model.targets) {
        this->rows[target.name] = {false, presence::live};
    }
}

bool platform_state::set(const std::string& name, presence now_is, time_point now)
{
    if (this->rows.find(name) == this->rows.end()) {
        return false;
    }
    this->changes.push_back({now + this->lag, name, now_is});
    return true;
}

void platform_state::show_changes(time_point now)
{
    auto next = this->changes.begin();
    while (next != this->changes.end() && next->shows_at <= now) {
        this->rows[next->name].shown = next->now_is;
        ++next;
    }
    this->changes.erase(this->changes.begin(), next);
}

std::string platform_state::list_at(time_point now)
{
    this->show_changes(now);
    Json::Value list;
    for (const char* key : {"live_targets", "leaving_targets", "live_hosts", "leaving_hosts"}) {
        list[key] = Json::Value{Json::arrayValue};
    }
    for (const auto& [name, row] : this->rows) {
        if (row.shown == presence::gone) {
            continue;
        }
        const std::string state = row.shown == presence::live ? "live" : "leaving";
        list[state + (row.is_host ? "_hosts" : "_targets")].append(name);
    }
    return Json::writeString(Json::StreamWriterBuilder{}, list);
}

} // namespace bth::standins
