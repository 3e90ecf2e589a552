#include "bth/consensus/types.h"

#include <algorithm>

namespace bth::consensus {

std::string to_string(const member_id& member)
{
    return member.host + "#" + std::to_string(member.life.value());
}

bool is_voter(const configuration& members, const member_id& member)
{
    return std::find(members.voters.begin(), members.voters.end(), member) != members.voters.end();
}

bool is_learner(const configuration& members, const member_id& member)
{
    const auto& all = members.learners;
    return std::find(all.begin(), all.end(), member) != all.end();
}

std::optional<member_id> member_on(const configuration& members, const std::string& host)
{
    for (const auto* all : {&members.voters, &members.learners}) {
        for (const auto& member : *all) {
            if (member.host == host) {
                return member;
            }
        }
    }
    return std::nullopt;
}

} // namespace bth::consensus
