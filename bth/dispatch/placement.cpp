#include "bth/dispatch/placement.h"

#include <algorithm>
#include <optional>
#include <utility>

#include <xxhash.h>

namespace bth::dispatch {

namespace {

// The round trip to a target, by where it is: the platform's links take 0.2 to 1 ms a way inside a
// region and 20 ms between regions.
constexpr fractional_ms way_in_domain{0.5};
constexpr fractional_ms way_in_region{2.0};
constexpr fractional_ms way_between_regions{42.0};

// The weight of a new answer in the estimate of work: some twenty answers count.
constexpr double answer_weight = 0.05;

// A target that sheds is avoided as if its queue were longer by its shed share of this much.
constexpr fractional_ms shed_penalty{400.0};
// A target that failed last is avoided in favour of others unless they are much later.
constexpr fractional_ms failure_penalty{250.0};

// A request that can't be answered within its objective any more joins only a short queue, of this
// part of its work: it would make those behind it late too. Each lower priority joins a shorter
// one, so that the urgent ones are refused last.
constexpr double late_queue = 0.8;
constexpr double late_queue_step = 0.1;
constexpr double least_late_queue = 0.2;

// How much a target that is no home of the object is avoided, as a part of the gain of a warm
// target: targets remember few objects, and every further one drives out one of theirs.
constexpr double stranger_penalty = 0.3;

struct candidate {
    placement found;
    fractional_ms cost{};
    std::uint64_t rank{};
    // Whether the target is one of the object's homes.
    bool is_home{};
};

// Which targets are compared.
enum class among : std::uint8_t {
    sound_ones, // All but those that are left alone for their failures.
    all,
    homes, // The homes of the object, as far as they are sound.
};

bool allowed(const placement_question& question, std::string_view region)
{
    return question.allowed_regions == nullptr || question.allowed_regions->empty() ||
           std::find(question.allowed_regions->begin(), question.allowed_regions->end(), region) !=
               question.allowed_regions->end();
}

fractional_ms way_to(const placement_question& question, std::string_view domain,
                     std::string_view region)
{
    if (domain == question.domain) {
        return way_in_domain;
    }
    return region == question.region ? way_in_region : way_between_regions;
}

// A cold target bears little, and only hosts of its region know what its owner sends it.
bool may_take_cold(const target_board& board, const placement_question& question,
                   const target_ptr& row)
{
    return board.region_of(row->facts().domain) == question.region &&
           row->sent_lately(question.now) < question.cold_allowance;
}

bool may_take(const target_board& board, const placement_question& question, const target_ptr& row,
              bool even_ejected)
{
    if (!board.may_serve(*row) || !allowed(question, board.region_of(row->facts().domain))) {
        return false;
    }
    if (std::find(question.tried.begin(), question.tried.end(), row.get()) !=
        question.tried.end()) {
        return false;
    }
    if (row->is_cold(question.now) && !may_take_cold(board, question, row)) {
        return false;
    }
    return even_ejected || !row->is_ejected(question.now);
}

// The target that all hosts of the caller's region send an object to while it has room, and the one
// that they all turn to when it has none, so that a busy object is taught to one more target only.
struct object_homes {
    const target* first{};
    const target* second{};
    std::uint64_t first_rank{};
    std::uint64_t second_rank{};

    void consider(const target* row, std::uint64_t rank)
    {
        if (this->first == nullptr || rank > this->first_rank) {
            this->second = std::exchange(this->first, row);
            this->second_rank = std::exchange(this->first_rank, rank);
        }
        else if (this->second == nullptr || rank > this->second_rank) {
            this->second = row;
            this->second_rank = rank;
        }
    }
};

// Whether an object is one of those whose home is in another region.
bool lives_away(const placement_question& question)
{
    // Keys are hashes: their upper bits are an even spread, which the ranks of targets don't use.
    constexpr int unused_bits = 32;
    constexpr double all = 4294967296.0;
    return static_cast<double>(question.key >> unused_bits) < question.away * all;
}

object_homes homes_of(const target_board& board, const placement_question& question)
{
    if (question.key == 0 || !question.sticky) {
        return {};
    }
    object_homes near;
    object_homes away;
    for (const auto& row : board.of_service(question.service)) {
        const auto region = board.region_of(row->facts().domain);
        if (board.may_serve(*row) && allowed(question, region)) {
            auto& homes = region == question.region ? near : away;
            homes.consider(row.get(), affinity_rank(question.key, row->facts().id));
        }
    }
    const bool goes_away = away.first != nullptr && (near.first == nullptr || lives_away(question));
    return goes_away ? away : near;
}

candidate weigh(const target_board& board, const placement_question& question,
                const work_estimate& work, const target_ptr& row, const object_homes& homes)
{
    candidate made;
    made.found.where = row;
    made.rank = affinity_rank(question.key, row->facts().id);
    made.found.known = question.key != 0 && row->knows(question.key);
    const bool is_second = row.get() == homes.second;
    made.is_home = is_second || row.get() == homes.first;
    made.found.warm = question.sticky && (made.found.known || row.get() == homes.first);
    made.found.work = work.of(made.found.warm) * row->slowness();
    made.found.way = way_to(question, row->facts().domain, board.region_of(row->facts().domain));
    const double slots = std::max<std::uint32_t>(row->slots(), 1);
    const double ahead = std::max(0.0, row->occupancy(question.now) + 1.0 - slots);
    made.found.wait = work.of(made.found.warm) * row->slowness() * (ahead / slots);
    made.cost = made.found.total() + shed_penalty * row->shed_share();
    if (!made.found.warm) {
        // Work on an object that is new to the target holds its slots for longer, at the expense of
        // the objects that it knows.
        const double busy = std::min(1.0, row->occupancy(question.now) / slots);
        made.cost += (work.cold - work.warm) * (busy + (is_second ? 0.0 : stranger_penalty));
    }
    if (row->on_trial(question.now)) {
        made.cost += failure_penalty;
    }
    return made;
}

std::optional<candidate> best_of(const target_board& board, const placement_question& question,
                                 const work_estimate& work, among which)
{
    const auto& rows = board.of_service(question.service);
    const auto homes = homes_of(board, question);
    std::optional<candidate> best;
    for (const auto& row : rows) {
        if (!may_take(board, question, row, which == among::all)) {
            continue;
        }
        auto next = weigh(board, question, work, row, homes);
        if (which == among::homes && !next.is_home) {
            continue;
        }
        if (!best || next.cost < best->cost ||
            (next.cost == best->cost && next.rank > best->rank)) {
            best = std::move(next);
        }
    }
    return best;
}

// Whether a request would start cold on a target that is no home of its object, and be late there.
// It would hold a slot for several times as long as at home and drive out an object.
bool spills_in_vain(const placement_question& question, const candidate& best)
{
    const bool has_home = question.sticky && question.key != 0;
    return has_home && !best.is_home && !best.found.warm &&
           best.found.total() > question.objective_left;
}

// Whether a request that found its best target is worth sending there.
tl::expected<placement, unplaced> admit(const placement_question& question,
                                        const work_estimate& work, const placement& found)
{
    if (found.total() > question.time_left) {
        return tl::unexpected{unplaced{placement_failure::too_late, found.wait}};
    }
    const double share =
        std::max(least_late_queue, late_queue - late_queue_step * question.priority);
    if (found.total() > question.objective_left && found.wait > work.warm * share) {
        return tl::unexpected{unplaced{placement_failure::overload, found.wait}};
    }
    return found;
}

} // namespace

void work_estimate::learn(const placement& from, fractional_ms took)
{
    // Whether the home of an object that this host hasn't sent there was warm isn't known.
    if (from.warm && !from.known) {
        return;
    }
    auto& mean = from.warm ? this->warm : this->cold;
    mean += (took - mean) * answer_weight;
    this->warm = std::min(this->warm, this->cold);
}

tl::expected<placement, unplaced> place_at(const target_board& board,
                                           const placement_question& question,
                                           const target_ptr& where, const work_estimate& work)
{
    if (!may_take(board, question, where, false)) {
        return tl::unexpected{unplaced{placement_failure::no_target, work.warm}};
    }
    const auto homes = homes_of(board, question);
    return admit(question, work, weigh(board, question, work, where, homes).found);
}

tl::expected<placement, unplaced>
place(const target_board& board, const placement_question& question, const work_estimate& work)
{
    auto best = best_of(board, question, work, among::sound_ones);
    if (!best) {
        // All look bad: the fault may be ours, and a try costs less than a refusal.
        best = best_of(board, question, work, among::all);
    }
    if (!best) {
        return tl::unexpected{unplaced{placement_failure::no_target, work.warm}};
    }
    if (spills_in_vain(question, *best)) {
        auto home = best_of(board, question, work, among::homes);
        if (!home && question.declined) {
            return tl::unexpected{unplaced{placement_failure::overload, work.warm}};
        }
        best = home ? std::move(home) : std::move(best);
    }
    return admit(question, work, best->found);
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
