#include "bth/dispatch/load_board.h"

#include <algorithm>

namespace bth::dispatch {

void load_board::observe(time_point now, target_key target, std::uint32_t requests,
                         std::uint32_t slots)
{
    this->forget_expired(now);
    if (requests >= slots || this->rows.contains(target)) {
        this->record(target, requests, now, news_source::observed);
    }
}

void load_board::merge(time_point now, const std::vector<told_load>& news, news_source source)
{
    this->forget_expired(now);
    for (const auto& each : news) {
        if (each.age >= duration{} && each.age < retention) {
            this->record(each.target, each.requests, now - each.age, source);
        }
    }
}

void load_board::record(target_key target, std::uint32_t requests, time_point reported_at,
                        news_source source)
{
    auto& known = this->rows[target];
    if (known.sequence == 0 || reported_at > known.reported_at) {
        known = {requests, reported_at, ++this->last_sequence, source};
    }
}

std::vector<told_load> load_board::news_since(time_point now, std::uint64_t& cursor,
                                              news_scope scope) const
{
    std::vector<told_load> out;
    for (const auto& [target, each] : this->rows) {
        const bool is_due = each.sequence > cursor && now - each.reported_at < retention;
        if (is_due && (scope == news_scope::all || each.source == news_source::observed)) {
            out.push_back({target, each.requests, now - each.reported_at});
        }
    }
    cursor = this->last_sequence;
    if (out.size() > max_news) {
        std::nth_element(out.begin(), out.begin() + max_news, out.end(),
                         [](const auto& a, const auto& b) { return a.age < b.age; });
        out.resize(max_news);
    }
    return out;
}

void load_board::forget_expired(time_point now)
{
    std::erase_if(this->rows,
                  [now](const auto& each) { return now - each.second.reported_at >= retention; });
}

} // namespace bth::dispatch
