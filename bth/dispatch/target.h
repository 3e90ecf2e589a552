// A target as the platform's list and this host's own requests show it.
//
//   target row{facts};
//   row.begin(now, key);
//   row.end(now, outcome, took, load);
#pragma once

#include "bth/base/endpoint.h"
#include "bth/base/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace bth::dispatch {

using fractional_ms = std::chrono::duration<double, std::milli>;

// The object that a request concerns, hashed together with its service; 0 if it names none.
using object_key = std::uint64_t;

// What a list says of one target.
struct target_facts {
    std::string id;
    std::string service;
    endpoint where;
    std::string domain;
    std::uint32_t slots{1};
    bool draining{};
    // How much longer it stays cold.
    duration cold_left{};
    friend bool operator==(const target_facts&, const target_facts&) = default;
};

// A target's own word on its load, as it came with an answer.
struct load_report {
    std::uint32_t running{};
    std::uint32_t waiting{};
    std::uint32_t slots{};
};

// How one send ended, as far as it tells something about the target.
enum class send_outcome : std::uint8_t {
    answered,    // It ran, and the whole answer came.
    shed,        // The target said that it didn't run the request.
    misdirected, // Another target has the address.
    not_reached, // No connection was made; no byte was sent.
    broken,      // The connection ended, or what came wasn't an answer.
    failed,      // An answer that tells of a failure of the target itself.
    timed_out,   // No answer came in time.
    abandoned,   // The caller left first.
};

class target {
public:
    explicit target(target_facts facts) : known{std::move(facts)} {}

    const target_facts& facts() const { return this->known; }
    // Takes what a newer list says.
    void update(time_point now, target_facts facts);
    void remove() { this->gone = true; }
    bool is_gone() const { return this->gone; }

    // A request is handed to the target.
    void begin(time_point now, object_key key);
    // The request has ended after `took`; `expected` is the work that was expected of it.
    void end(time_point now, send_outcome outcome, fractional_ms took, fractional_ms expected,
             std::optional<load_report> load);

    // Takes its owner's word on how many requests of all hosts are there now, this host's included.
    void take_occupancy(time_point now, std::uint32_t requests);
    // Leaves it alone for a while, since its owner does.
    void eject(time_point until) { this->ejected_until = std::max(this->ejected_until, until); }

    // Requests that this host has at the target.
    std::uint32_t in_flight() const { return this->own; }
    // Requests that all hosts have at the target, as far as is known.
    double occupancy(time_point now) const;
    std::uint32_t slots() const { return this->known.slots; }

    bool is_cold(time_point now) const { return now < this->cold_until; }
    // Treats the target as cold for a while whatever the list says, such as after an outage.
    void assume_cold(time_point until);
    // Requests sent by this host in the last second.
    std::size_t sent_lately(time_point now);

    // Whether the target has failed so often that it should be left alone for now.
    bool is_ejected(time_point now) const { return now < this->ejected_until; }
    // Whether it failed lately and has answered nothing since.
    bool on_trial(time_point now) const
    {
        return this->failures_in_row > 0 && now < this->suspect_until;
    }
    std::uint32_t failures() const { return this->failures_in_row; }
    // The share of recent sends that it refused to run, from 0 to 1.
    double shed_share() const { return this->sheds; }
    // How much longer than expected its work takes; 1 is as expected.
    double slowness() const { return this->pace; }

    // Whether this host has sent it the object lately.
    bool knows(object_key key) const;

private:
    void note_failure(time_point now);

    target_facts known;
    bool gone{};
    std::uint32_t own{};
    // Others' requests as the last report showed them, when it came, and their mean.
    double others_reported{};
    double others_mean{};
    time_point reported_at;
    time_point cold_until;
    time_point ejected_until;
    time_point suspect_until;
    std::uint32_t failures_in_row{};
    double sheds{};
    double pace{1.0};
    std::deque<object_key> objects;
    std::deque<time_point> sends;
};

} // namespace bth::dispatch
