#include "bth/dispatch/sender_roster.h"

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

#include <xxhash.h>

namespace bth::dispatch {

sender_roster::sender_roster(std::string own_name, std::string own_domain)
    : name{std::move(own_name)}
{
    this->hosts[this->name].domain = std::move(own_domain);
}

bool sender_roster::is_kept(time_point now, const std::string& host, const row& entry) const
{
    return host == this->name || entry.is_reported || now < entry.last_reported_at + retention;
}

void sender_roster::record_hosts(time_point now, const std::vector<roster_host>& reported)
{
    for (auto& [host, entry] : this->hosts) {
        if (std::exchange(entry.is_reported, false)) {
            entry.last_reported_at = now;
        }
    }
    for (const auto& each : reported) {
        this->hosts[each.name] = {each.domain, each.ready, each.reaches_targets, true, now};
    }
    std::erase_if(this->hosts,
                  [&](const auto& each) { return !this->is_kept(now, each.first, each.second); });
}

void sender_roster::record_contact(time_point now)
{
    if (!this->had_contact || now - this->last_contact_at > contact_validity) {
        this->settled_from = now + settling_time;
    }
    this->had_contact = true;
    this->last_contact_at = now;
}

bool sender_roster::has_settled(time_point now) const
{
    return this->is_in_contact(now) && now >= this->settled_from;
}

std::vector<std::string_view> sender_roster::senders_of(time_point now, const target_info& target,
                                                        std::size_t count) const
{
    using ranked_host = std::tuple<bool, std::uint64_t, std::string_view>;
    const auto seed = XXH64(target.id.data(), target.id.size(), 0);
    std::vector<ranked_host> ranked;
    for (const auto& [host, entry] : this->hosts) {
        if (this->is_kept(now, host, entry)) {
            ranked.emplace_back(entry.domain == target.domain,
                                XXH64(host.data(), host.size(), seed), host);
        }
    }
    const auto first = std::min(count, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(first),
                      ranked.end(), std::greater<>{});
    std::vector<std::string_view> out;
    out.reserve(first);
    for (std::size_t i = 0; i < first; ++i) {
        out.push_back(std::get<std::string_view>(ranked[i]));
    }
    return out;
}

bool sender_roster::is_sender(time_point now, const target_info& target, std::size_t count) const
{
    if (!this->has_settled(now)) {
        return false;
    }
    const auto senders = this->senders_of(now, target, count);
    return std::find(senders.begin(), senders.end(), this->name) != senders.end();
}

bool sender_roster::is_ready(std::string_view host) const
{
    const auto found = this->hosts.find(host);
    return found != this->hosts.end() && found->second.ready && found->second.reaches_targets &&
           found->second.is_reported;
}

std::vector<roster_host> sender_roster::ready_hosts() const
{
    std::vector<roster_host> out;
    for (const auto& [host, entry] : this->hosts) {
        if (host != this->name && this->is_ready(host)) {
            out.push_back({host, entry.domain});
        }
    }
    return out;
}

std::size_t sender_roster::ready_host_count(time_point now) const
{
    return static_cast<std::size_t>(
        std::count_if(this->hosts.begin(), this->hosts.end(), [&](const auto& each) {
            return each.second.ready && this->is_kept(now, each.first, each.second);
        }));
}

} // namespace bth::dispatch
