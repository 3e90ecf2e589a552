#include "bth/control/proposer.h"

namespace bth::control {

std::string_view to_string(proposal_failure_reason reason)
{
    constexpr std::array<std::string_view, proposal_failure_reason_count> names{
        "no_leader", "no_quorum", "lost_lead", "timed_out", "storage_failed", "stopping"};
    return names.at(static_cast<std::size_t>(reason));
}

std::array<proposal_failure_reason, proposal_failure_reason_count> all_proposal_failure_reasons()
{
    std::array<proposal_failure_reason, proposal_failure_reason_count> all{};
    for (std::size_t index = 0; index < all.size(); ++index) {
        all.at(index) = static_cast<proposal_failure_reason>(index);
    }
    return all;
}

std::array<edit_outcome, edit_outcome_count> all_edit_outcomes()
{
    std::array<edit_outcome, edit_outcome_count> all{};
    for (std::size_t index = 0; index < all.size(); ++index) {
        all.at(index) = static_cast<edit_outcome>(index);
    }
    return all;
}

} // namespace bth::control
