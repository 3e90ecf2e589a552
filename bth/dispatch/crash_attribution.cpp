#include "bth/dispatch/internal/crash_attribution.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace bth::dispatch::internal {

namespace {

// A request needs this weight of evidence beside the number of crashes. A crash of a target counts
// by the square of the request's share of the targets of the service that crashed at that time: 1
// if it was at all of them. So one of three crashes may coincide with one that has another cause.
constexpr double weight_to_refuse = 2.2;
// Several copies of a request may be at all of the few targets that a common cause takes along, so
// crashes of one moment need so much more weight.
constexpr double extra_weight_of_one_moment = 1.0;
// The weight of a crash that another request explains, and of all of these at most. A request that
// was at many such crashes and was never answered may crash targets as well.
constexpr double explained_weight = 0.2;
constexpr double max_explained_weight = 1.2;
// Two requests whose weights differ by less can't be told apart if they were at the same crashes.
constexpr double distinct_weight = 0.5;
// The weight of evidence from which the next run is a trial. Two crashes at moments at which
// nothing else crashed amount to 2.
constexpr double weight_of_trial = 1.5;

// One crash of one target.
struct crash_event {
    service_key service;
    time_point at;
    // The requests that were running there and weren't cleared, and when the report on each
    // arrived.
    std::map<request_fingerprint, time_point> candidates;
    // The crashes of the service at about the same time, this one included.
    std::vector<std::size_t> wave;
    bool is_explained{};
};

class crash_events {
public:
    crash_events(const std::vector<observed_crash>& observed,
                 const std::vector<cleared_crash>& cleared, const attribution_rules& rules)
    {
        // One report of a crash, with the request that was running there unless it was cleared.
        struct report {
            target_key target;
            time_point at;
            service_key service;
            const observed_crash* candidate;
        };
        std::vector<report> reports;
        reports.reserve(observed.size() + cleared.size());
        for (const auto& each : observed) {
            reports.push_back({each.target, each.at, each.service, &each});
        }
        for (const auto& each : cleared) {
            reports.push_back({each.target, each.at, each.service, nullptr});
        }
        std::sort(reports.begin(), reports.end(), [](const auto& one, const auto& other) {
            return std::tie(one.target, one.at) < std::tie(other.target, other.at);
        });
        const report* first = nullptr;
        for (const auto& each : reports) {
            if (first == nullptr || each.target != first->target ||
                each.at - first->at >= rules.same_crash_window) {
                first = &each;
                this->events.push_back({each.service, each.at, {}, {}, false});
            }
            if (each.candidate == nullptr) {
                continue;
            }
            const auto added = this->events.back().candidates.emplace(each.candidate->request,
                                                                      each.candidate->learned_at);
            if (added.second) {
                this->events_of[each.candidate->request].push_back(this->events.size() - 1);
            }
        }
        this->find_waves(rules.wave_length);
    }

    // Returns the requests that were at two crashes or more.
    std::vector<request_fingerprint> repeated() const
    {
        std::vector<request_fingerprint> out;
        for (const auto& [request, indices] : this->events_of) {
            if (indices.size() > 1) {
                out.push_back(request);
            }
        }
        return out;
    }

    // Returns the number of crashes at which the request was running.
    std::size_t count(request_fingerprint request) const
    {
        return this->events_of.at(request).size();
    }

    // Returns the crashes that the request may explain and no other request does, in their order of
    // time.
    std::vector<std::size_t> unexplained(request_fingerprint request) const
    {
        std::vector<std::size_t> out;
        for (const auto index : this->events_of.at(request)) {
            if (!this->events[index].is_explained) {
                out.push_back(index);
            }
        }
        std::sort(out.begin(), out.end(), [&](auto one, auto other) {
            return this->events[one].at < this->events[other].at;
        });
        return out;
    }

    // Returns the weight of evidence against the request; see weight_to_refuse.
    double weight(request_fingerprint request, const std::vector<std::size_t>& indices) const
    {
        double out = 0.0;
        for (const auto index : indices) {
            std::size_t crashed = 0;
            std::size_t shared = 0;
            for (const auto other : this->events[index].wave) {
                if (!this->events[other].is_explained) {
                    ++crashed;
                    shared += this->events[other].candidates.count(request);
                }
            }
            const double share = static_cast<double>(shared) / static_cast<double>(crashed);
            out += share * share;
        }
        return out;
    }

    // Returns whether the crashes, ordered by time, may all have had one cause.
    bool is_one_moment(const std::vector<std::size_t>& indices, duration wave_length) const
    {
        return this->events[indices.back()].at - this->events[indices.front()].at <= wave_length;
    }

    void explain(const std::vector<std::size_t>& indices)
    {
        for (const auto index : indices) {
            this->events[index].is_explained = true;
        }
    }

    // Returns when the last of the reports arrived that place the request at these crashes.
    time_point learned_at(request_fingerprint request, const std::vector<std::size_t>& indices,
                          std::size_t count) const
    {
        time_point out;
        for (std::size_t i = 0; i < std::min(count, indices.size()); ++i) {
            out = std::max(out, this->events[indices[i]].candidates.at(request));
        }
        return out;
    }

private:
    void find_waves(duration wave_length)
    {
        std::map<service_key, std::vector<std::size_t>> by_service;
        for (std::size_t index = 0; index < this->events.size(); ++index) {
            by_service[this->events[index].service].push_back(index);
        }
        for (auto& [service, indices] : by_service) {
            std::sort(indices.begin(), indices.end(), [&](auto one, auto other) {
                return this->events[one].at < this->events[other].at;
            });
            std::size_t first = 0;
            for (std::size_t i = 0; i < indices.size(); ++i) {
                auto& event = this->events[indices[i]];
                while (this->events[indices[first]].at + wave_length < event.at) {
                    ++first;
                }
                for (std::size_t j = first;
                     j < indices.size() && this->events[indices[j]].at <= event.at + wave_length;
                     ++j) {
                    event.wave.push_back(indices[j]);
                }
            }
        }
    }

    std::vector<crash_event> events;
    std::map<request_fingerprint, std::vector<std::size_t>> events_of;
};

struct candidate {
    request_fingerprint request;
    // The crashes that no other request explains so far, ordered by time.
    std::vector<std::size_t> crashes;
    // The number of its other crashes.
    std::size_t explained{};
    double weight{};

    std::size_t all_crashes() const { return this->crashes.size() + this->explained; }
};

std::vector<candidate> candidates_of(const crash_events& events,
                                     const std::vector<request_fingerprint>& requests)
{
    std::vector<candidate> out;
    for (const auto request : requests) {
        auto crashes = events.unexplained(request);
        if (crashes.empty()) {
            continue;
        }
        const auto explained = events.count(request) - crashes.size();
        const double weight =
            events.weight(request, crashes) +
            std::min(explained_weight * static_cast<double>(explained), max_explained_weight);
        out.push_back({request, std::move(crashes), explained, weight});
    }
    return out;
}

// Returns whether another request was at all crashes of this one, so that either may be the cause.
bool is_ambiguous(const candidate& suspect, const std::vector<candidate>& all)
{
    return std::any_of(all.begin(), all.end(), [&](const auto& each) {
        return each.request != suspect.request && each.weight > suspect.weight - distinct_weight &&
               std::all_of(suspect.crashes.begin(), suspect.crashes.end(), [&](auto index) {
                   return std::find(each.crashes.begin(), each.crashes.end(), index) !=
                          each.crashes.end();
               });
    });
}

} // namespace

std::vector<suspect_request> attribute(const std::vector<observed_crash>& observed,
                                       const std::vector<cleared_crash>& cleared,
                                       const attribution_rules& rules)
{
    std::vector<suspect_request> out;
    crash_events events{observed, cleared, rules};
    const auto repeated = events.repeated();
    while (true) {
        const auto candidates = candidates_of(events, repeated);
        const candidate* heaviest = nullptr;
        for (const auto& each : candidates) {
            const bool is_one_moment =
                each.explained == 0 && events.is_one_moment(each.crashes, rules.wave_length);
            const double needed =
                weight_to_refuse + (is_one_moment ? extra_weight_of_one_moment : 0.0);
            const bool is_enough =
                each.all_crashes() >= rules.crashes_to_refuse && each.weight >= needed;
            if (is_enough && (heaviest == nullptr || each.weight > heaviest->weight) &&
                !is_ambiguous(each, candidates)) {
                heaviest = &each;
            }
        }
        if (heaviest == nullptr) {
            for (const auto& each : candidates) {
                if (each.weight >= weight_of_trial) {
                    out.push_back(
                        {each.request, each.all_crashes(), false,
                         events.learned_at(each.request, each.crashes, each.crashes.size())});
                }
            }
            return out;
        }
        out.push_back(
            {heaviest->request, heaviest->all_crashes(), true,
             events.learned_at(heaviest->request, heaviest->crashes, rules.crashes_to_refuse)});
        events.explain(heaviest->crashes);
    }
}

} // namespace bth::dispatch::internal
