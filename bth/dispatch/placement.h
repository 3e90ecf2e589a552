// Chooses the target of a request, and whether it is worth sending at all.
//
//   const auto found = place(board, question, work.of("orders"));
//   if (!found) { refuse(found.error()); } else { send_to(found->where); }
//
// The load pattern this answers: work that is longer than the latency objective on a target that
// doesn't know the object, and much shorter on one that does, while all hosts together ask for
// about as much as the slots hold. A request goes where its answer is expected first: to a target
// that knows its object, unless waiting there costs more than starting cold elsewhere or the way to
// another region does. It starts cold elsewhere only if it can still be in time there: an overload
// that turns into cold work would feed itself, since cold work takes several times the slots. All
// hosts of a region rank the targets for an object alike, so that they teach the same target the
// same object without talking to each other.
#pragma once

#include "bth/dispatch/board.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

namespace bth::dispatch {

struct placement;

// What requests of one service take, learned from answers.
struct work_estimate {
    // On a target that knows the object, and on one that doesn't.
    fractional_ms warm{150.0};
    fractional_ms cold{300.0};

    void learn(const placement& from, fractional_ms took);
    fractional_ms of(bool is_warm) const { return is_warm ? this->warm : this->cold; }
};

struct placement_question {
    time_point now;
    std::string_view service;
    object_key key{};
    // Whether targets of the service work faster on an object that they know.
    bool sticky{};
    // Where this host is.
    std::string_view domain;
    std::string_view region;
    // Empty: anywhere.
    const std::vector<std::string>* allowed_regions{};
    // Targets that have been tried for this request.
    std::vector<const target*> tried;
    // The time until the final answer is due.
    fractional_ms time_left{};
    // The time within which the answer is of full use, and how much of it is left.
    fractional_ms objective_left{};
    // 0 is served first.
    std::uint32_t priority{};
    // Whether the owner of one of the targets would not take it, since the queue there is too long.
    bool declined{};
    // The part of the objects whose home is in another region, from 0 to 1.
    double away{};
    // The rate that a cold target bears from this host, in requests per second; 0: none.
    std::uint32_t cold_allowance{};
};

struct placement {
    target_ptr where;
    // Whether the target is expected to know the object, and whether this host sent it there.
    bool warm{};
    bool known{};
    // The expected time at the target without waiting, the wait for a slot, and the way there.
    fractional_ms work{};
    fractional_ms wait{};
    fractional_ms way{};
    fractional_ms total() const { return this->work + this->wait + this->way; }
};

enum class placement_failure : std::uint8_t {
    no_target, // No target may serve the request.
    too_late,  // The best target would answer after the request's time.
    overload,  // The best target's queue is longer than a request of this priority may join.
};

struct unplaced {
    placement_failure why{};
    // How long the queue would have to shrink before the request could be taken.
    fractional_ms come_back{};
};

// The same for one given target, as its owner knows it.
tl::expected<placement, unplaced> place_at(const target_board& board,
                                           const placement_question& question,
                                           const target_ptr& where, const work_estimate& work);

tl::expected<placement, unplaced>
place(const target_board& board, const placement_question& question, const work_estimate& work);

// The rank of a target for an object: the same on all hosts, highest first.
std::uint64_t affinity_rank(object_key key, std::string_view target_id);

// The key of an object of a service, never 0.
object_key make_object_key(std::string_view service, std::string_view object);

} // namespace bth::dispatch
