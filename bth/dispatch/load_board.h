// What targets report of their load, told from one host to all others.
//
//   load_board board;
//   board.observe(now, target, requests, slots);       // with each answer that reports a load
//   board.merge(now, news_of_another_host, news_source::observed);
//   send(board.news_since(now, cursor, news_scope::all));
//   if (is_useful(news.age, typical_time)) { target->record_occupancy(now - news.age, requests); }
//
// This answers work that lasts long at few targets, asked for by hundreds of hosts: a host sends to
// a target once in many seconds, and can't know that the others have filled its queue. Requests
// then wait behind twenty others, run out of time, and are cut off in the middle of their work.
//
// News that is older than requests last says nothing of the queue any more, and does harm: all
// hosts hear the same, leave a target together and come back together. So it is used for long work
// only. Targets with room aren't told of, except for a while after they had none.
#pragma once

#include "bth/base/time.h"
#include "bth/dispatch/crash_ledger.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace bth::dispatch {

// A load that a target reported some time ago: its running and its waiting requests.
struct told_load {
    target_key target;
    std::uint32_t requests{};
    duration age{};
    friend bool operator==(const told_load&, const told_load&) = default;
};

// Returns whether news of that age tells something of the queue of a target whose requests usually
// take `typical_time`.
inline bool is_useful(duration age, duration typical_time)
{
    return age <= typical_time;
}

class load_board {
public:
    // Older loads are forgotten. No request lasts so long that they would be useful.
    static constexpr std::chrono::seconds retention{3};
    // The most loads in one message, the newest of all.
    static constexpr std::size_t max_news = 64;

    // Records a load that a target reported to this host, if it is worth telling.
    void observe(time_point now, target_key target, std::uint32_t requests, std::uint32_t slots);
    // Records what another host tells.
    void merge(time_point now, const std::vector<told_load>& news, news_source source);

    // Returns the loads recorded after `cursor`, at most max_news, and moves the cursor behind all.
    std::vector<told_load> news_since(time_point now, std::uint64_t& cursor,
                                      news_scope scope) const;
    // Returns whether there may be news after the cursor.
    bool has_news_since(std::uint64_t cursor) const { return cursor < this->last_sequence; }

private:
    struct row {
        std::uint32_t requests{};
        time_point reported_at;
        std::uint64_t sequence{};
        news_source source{};
    };

    void record(target_key target, std::uint32_t requests, time_point reported_at,
                news_source source);
    void forget_expired(time_point now);

    std::map<target_key, row> rows;
    std::uint64_t last_sequence{};
};

} // namespace bth::dispatch
