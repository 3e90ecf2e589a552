#include "bth/dispatch/placement.h"

#include <algorithm>
#include <optional>
#include <utility>

#include <xxhash.h>

namespace bth::dispatch {

namespace {

// The weight of a new answer in the estimate of service times, which thus covers about twenty
// answers.
constexpr double sample_weight = 0.05;

// The cost added to a target that sheds requests: its share of shed requests times this, as if its
// queue were longer by that time.
constexpr fractional_ms shed_penalty{400.0};
// The cost added to a target whose last request failed: other targets are preferred unless they are
// expected to answer much later.
constexpr fractional_ms failure_penalty{250.0};

// A request that can no longer meet its objective may only join a queue whose wait is at most this
// fraction of the service time of a warm request, because it would make the requests behind it late
// too. Each lower priority may only join a shorter queue, so that the most urgent requests are
// refused last.
constexpr double late_wait_limit = 0.8;
constexpr double late_wait_limit_step = 0.1;
constexpr double min_late_wait_limit = 0.2;

// The cost added to a target that is not an affinity target of the object, as a multiple of the
// time that a warm target saves over a cold one. Its cold run makes it warm for an object that
// other hosts send elsewhere, and evicts another one or delays the requests for it.
constexpr double non_affinity_penalty = 2.0;

// The time over which the callers of one priority come back after a rest.
constexpr fractional_ms rest_spread_step{150.0};

struct scored_target {
    placement placed;
    fractional_ms cost{};
    std::uint64_t rank{};
    // Whether the target is the primary or the secondary affinity target of the object.
    bool has_affinity{};
};

// Which targets are considered.
enum class target_filter : std::uint8_t {
    not_ejected,
    any,
    affinity_targets, // The affinity targets of the object that are not ejected.
    leaving,          // Those that said that they leave, and may still be used.
    in_time, // Those that are not ejected and are expected to meet the objective and the deadline.
};

bool is_region_allowed(const placement_request& request, std::string_view region)
{
    return request.allowed_regions == nullptr || request.allowed_regions->empty() ||
           std::find(request.allowed_regions->begin(), request.allowed_regions->end(), region) !=
               request.allowed_regions->end();
}

fractional_ms round_trip_to(const placement_request& request, std::string_view domain,
                            std::string_view region)
{
    static const network_delays unmeasured;
    const auto& delays = request.delays == nullptr ? unmeasured : *request.delays;
    return delays.round_trip(domain,
                             distance_between(request.domain, request.region, domain, region));
}

// Returns whether this host may send or forward a request to a cold target. A cold target accepts
// only a low rate, which is split among hosts of its own region.
bool may_use_cold_target(const target_registry& registry, const placement_request& request,
                         const target_ptr& candidate)
{
    return registry.region_of(candidate->info().domain) == request.region &&
           candidate->sends_in_last_second(request.now) < request.cold_allowance;
}

bool is_in_own_region(const target_registry& registry, const placement_request& request,
                      const target_ptr& candidate)
{
    return registry.region_of(candidate->info().domain) == request.region;
}

// Returns whether this host may send or forward a request to a target that named a limit. Its
// senders are hosts of its own region; others only find out whether the limit still holds.
bool has_room_within_limit(const target_registry& registry, const placement_request& request,
                           const target_ptr& candidate)
{
    return is_in_own_region(registry, request, candidate)
               ? candidate->wait_for_limit(request.now) == duration{}
               : candidate->is_limit_probe_due(request.now);
}

bool may_use(const target_registry& registry, const placement_request& request,
             const target_ptr& candidate, target_filter filter)
{
    const bool may_serve =
        filter == target_filter::leaving
            ? registry.may_serve_while_leaving(*candidate, request.now, request.leaving_grace)
            : registry.may_serve(*candidate);
    if (!may_serve || !candidate->has_rested(request.now) ||
        !is_region_allowed(request, registry.region_of(candidate->info().domain))) {
        return false;
    }
    if (std::find(request.tried.begin(), request.tried.end(), candidate.get()) !=
        request.tried.end()) {
        return false;
    }
    if (candidate->is_cold(request.now) && !may_use_cold_target(registry, request, candidate)) {
        return false;
    }
    if (candidate->limit() && !has_room_within_limit(registry, request, candidate)) {
        return false;
    }
    return filter == target_filter::any || !candidate->is_ejected(request.now);
}

// The affinity targets of an object, the same on all hosts of a region: the primary target gets the
// object's requests while it has capacity. When it has none, all hosts use the secondary one, so
// that the requests for a busy object make only one more target warm for it.
struct object_affinity {
    const target* primary{};
    const target* secondary{};
    std::uint64_t primary_rank{};
    std::uint64_t secondary_rank{};

    void consider(const target* candidate, std::uint64_t rank)
    {
        if (this->primary == nullptr || rank > this->primary_rank) {
            this->secondary = std::exchange(this->primary, candidate);
            this->secondary_rank = std::exchange(this->primary_rank, rank);
        }
        else if (this->secondary == nullptr || rank > this->secondary_rank) {
            this->secondary = candidate;
            this->secondary_rank = rank;
        }
    }
};

// Returns whether an object belongs to the share of objects whose affinity targets are in another
// region.
bool is_in_remote_share(const placement_request& request)
{
    // Keys are hashes, so their upper 32 bits are evenly distributed. Selecting objects by these
    // bits doesn't bias the affinity ranks, which hash the key again with the id of the target.
    constexpr int lower_bits = 32;
    constexpr double upper_bits_range = 4294967296.0;
    return static_cast<double>(request.key >> lower_bits) < request.remote_share * upper_bits_range;
}

object_affinity affinity_of(const target_registry& registry, const placement_request& request)
{
    if (request.key == 0 || !request.sticky) {
        return {};
    }
    object_affinity local;
    object_affinity remote;
    for (const auto& candidate : registry.targets_of_service(request.service)) {
        const auto region = registry.region_of(candidate->info().domain);
        if (registry.may_serve(*candidate) && is_region_allowed(request, region)) {
            auto& affinity = region == request.region ? local : remote;
            affinity.consider(candidate.get(), affinity_rank(request.key, candidate->info().id));
        }
    }
    const bool is_remote =
        remote.primary != nullptr && (local.primary == nullptr || is_in_remote_share(request));
    return is_remote ? remote : local;
}

scored_target score(const target_registry& registry, const placement_request& request,
                    const service_time_estimate& estimate, const target_ptr& candidate,
                    const object_affinity& affinity)
{
    scored_target scored;
    scored.placed.target = candidate;
    scored.rank = affinity_rank(request.key, candidate->info().id);
    scored.placed.object_sent_recently =
        request.key != 0 && candidate->has_recent_object(request.key);
    const bool is_secondary = candidate.get() == affinity.secondary;
    scored.has_affinity = is_secondary || candidate.get() == affinity.primary;
    scored.placed.warm = request.sticky && (scored.placed.object_sent_recently ||
                                            candidate.get() == affinity.primary);
    scored.placed.service_time = estimate.expected(scored.placed.warm) * candidate->slowdown();
    scored.placed.network_delay = round_trip_to(request, candidate->info().domain,
                                                registry.region_of(candidate->info().domain));
    const double slots = std::max<std::uint32_t>(candidate->slots(), 1);
    const double queued = std::max(0.0, candidate->occupancy(request.now) + 1.0 - slots);
    scored.placed.wait =
        estimate.expected(scored.placed.warm) * candidate->slowdown() * (queued / slots);
    const double usually_queued =
        std::max(0.0, candidate->usual_occupancy(request.now) + 1.0 - slots);
    const auto usual_wait = scored.placed.service_time * (usually_queued / slots);
    scored.cost = scored.placed.service_time + usual_wait + scored.placed.network_delay +
                  shed_penalty * candidate->shed_share(request.now);
    if (!scored.placed.warm) {
        // A cold request holds its slot for longer, which delays the requests for objects that the
        // target is warm for. The busier the target, the higher is the cost added for this.
        const double utilization = std::min(1.0, candidate->usual_occupancy(request.now) / slots);
        scored.cost += (estimate.cold - estimate.warm) *
                       (utilization + (is_secondary ? 0.0 : non_affinity_penalty));
    }
    if (candidate->is_penalized(request.now)) {
        scored.cost += failure_penalty;
    }
    return scored;
}

// Returns the target with the lowest cost, and among equal costs with the highest affinity rank.
std::optional<scored_target> best_of(const target_registry& registry,
                                     const placement_request& request,
                                     const service_time_estimate& estimate, target_filter filter)
{
    const auto& candidates = registry.targets_of_service(request.service);
    const auto affinity = affinity_of(registry, request);
    std::optional<scored_target> best;
    for (const auto& candidate : candidates) {
        if (!may_use(registry, request, candidate, filter)) {
            continue;
        }
        auto scored = score(registry, request, estimate, candidate, affinity);
        if (filter == target_filter::affinity_targets && !scored.has_affinity) {
            continue;
        }
        if (filter == target_filter::in_time &&
            scored.placed.total() > std::min(request.remaining_objective, request.remaining_time)) {
            continue;
        }
        if (!best || scored.cost < best->cost ||
            (scored.cost == best->cost && scored.rank > best->rank)) {
            best = std::move(scored);
        }
    }
    return best;
}

// Returns whether a request would start cold on a target that is no affinity target of its object,
// and miss its objective there. It would hold a slot several times as long as on an affinity target
// and evict another object.
bool is_late_cold_start(const placement_request& request, const scored_target& best)
{
    const bool has_affinity_targets = request.sticky && request.key != 0;
    return has_affinity_targets && !best.has_affinity && !best.placed.warm &&
           best.placed.total() > request.remaining_objective;
}

// Returns why no target may serve the request: because all that could rest or have no room within
// their limits for a known time, or because there are none, or none that may be used now.
placement_error no_target_error(const target_registry& registry, const placement_request& request,
                                const service_time_estimate& estimate)
{
    std::optional<duration> shortest_rest;
    bool any_recovers = false;
    for (const auto& candidate : registry.targets_of_service(request.service)) {
        const auto region = registry.region_of(candidate->info().domain);
        // This host can't tell when a target of another region has room.
        const bool is_known = !candidate->limit() || is_in_own_region(registry, request, candidate);
        if (registry.may_serve(*candidate) && is_region_allowed(request, region) && is_known) {
            // 0 if it doesn't wait: it was tried, is cold, or recovers from a rest.
            any_recovers =
                any_recovers || !candidate->has_rested(request.now) || candidate->limit();
            const auto rest = std::max(candidate->remaining_rest(request.now),
                                       candidate->wait_for_limit(request.now));
            shortest_rest = std::min(shortest_rest.value_or(rest), rest);
        }
    }
    if (!any_recovers) {
        return {placement_failure::no_target, estimate.warm};
    }
    return {placement_failure::overload, estimate.warm, *shortest_rest};
}

// Returns `placed` if the request is worth sending there, else why it should be refused.
tl::expected<placement, placement_error> admit(const placement_request& request,
                                               const service_time_estimate& estimate,
                                               const placement& placed)
{
    if (placed.total() > request.remaining_time) {
        return tl::unexpected{placement_error{placement_failure::deadline_exceeded, placed.wait}};
    }
    const double wait_limit =
        std::max(min_late_wait_limit, late_wait_limit - late_wait_limit_step * request.priority);
    if (placed.total() > request.remaining_objective && placed.wait > estimate.warm * wait_limit) {
        return tl::unexpected{placement_error{placement_failure::overload, placed.wait}};
    }
    return placed;
}

} // namespace

void service_time_estimate::add_sample(const placement& placed, fractional_ms took)
{
    // A target that is only expected to be warm, because it is the object's primary affinity target
    // and not because this host sent the object there, may have been cold: the sample is ambiguous.
    if (placed.warm && !placed.object_sent_recently) {
        return;
    }
    auto& mean = placed.warm ? this->warm : this->cold;
    mean += (took - mean) * sample_weight;
    this->warm = std::min(this->warm, this->cold);
}

tl::expected<placement, placement_error> place_on_target(const target_registry& registry,
                                                         const placement_request& request,
                                                         const target_ptr& target,
                                                         const service_time_estimate& estimate)
{
    if (!may_use(registry, request, target, target_filter::not_ejected)) {
        return tl::unexpected{placement_error{placement_failure::no_target, estimate.warm}};
    }
    const auto affinity = affinity_of(registry, request);
    return admit(request, estimate, score(registry, request, estimate, target, affinity).placed);
}

tl::expected<placement, placement_error> place(const target_registry& registry,
                                               const placement_request& request,
                                               const service_time_estimate& estimate)
{
    auto best = best_of(registry, request, estimate, target_filter::not_ejected);
    if (!best) {
        // If all targets are ejected, the fault may lie with this host, and an attempt costs less
        // than a refusal.
        best = best_of(registry, request, estimate, target_filter::any);
    }
    if (!best) {
        best = best_of(registry, request, estimate, target_filter::leaving);
    }
    if (!best) {
        return tl::unexpected{no_target_error(registry, request, estimate)};
    }
    if (is_late_cold_start(request, *best)) {
        auto best_affinity = best_of(registry, request, estimate, target_filter::affinity_targets);
        if (!best_affinity && request.owner_declined) {
            return tl::unexpected{placement_error{placement_failure::overload, estimate.warm}};
        }
        best = best_affinity ? std::move(best_affinity) : std::move(best);
    }
    auto admitted = admit(request, estimate, best->placed);
    if (admitted) {
        return admitted;
    }
    // The best target is an affinity target with a long queue, or all others are worse. Its cost
    // says that waiting there is better than a cold start elsewhere, but it can't wait there any
    // more.
    const auto elsewhere = best_of(registry, request, estimate, target_filter::in_time);
    return elsewhere ? tl::expected<placement, placement_error>{elsewhere->placed} : admitted;
}

fractional_ms return_after_rest(fractional_ms remaining_rest, std::uint32_t priority, double random)
{
    return remaining_rest + rest_spread_step * (priority + random);
}

std::uint64_t affinity_rank(object_key key, std::string_view target_id)
{
    return XXH64(target_id.data(), target_id.size(), key);
}

object_key make_object_key(std::string_view service, std::string_view object)
{
    if (object.empty()) {
        return 0;
    }
    const auto seed = XXH64(service.data(), service.size(), 0);
    return std::max<object_key>(1, XXH64(object.data(), object.size(), seed));
}

} // namespace bth::dispatch
