#include "bth/fleet/member_roster.h"

#include <algorithm>
#include <chrono>

namespace bth::fleet {

namespace {

// A host that joined after another one of its domain is its successor if the other one has been
// silent for this long. Within four seconds of a successor's start the host that it replaced must
// not count any more, and an election and the successor's admission take up to two of them.
constexpr std::chrono::milliseconds successor_timeout{1500};
// The same if the silent host is the one that joined later, which may be about to come back.
constexpr std::chrono::seconds senior_timeout{6};

template <class Function>
void for_each_member(const consensus::configuration& members, Function function)
{
    std::for_each(members.voters.begin(), members.voters.end(), function);
    std::for_each(members.learners.begin(), members.learners.end(), function);
}

// Members are appended when they become voters, so that their order is that of their admission.
bool joined_after(const consensus::configuration& members, const consensus::member_id& voter,
                  const consensus::member_id& other)
{
    const auto& voters = members.voters;
    return std::find(voters.begin(), voters.end(), voter) >
               std::find(voters.begin(), voters.end(), other) &&
           consensus::is_voter(members, other);
}

} // namespace

std::map<std::string, std::string>
unrecorded_domains(const consensus::configuration& members,
                   const std::map<std::string, std::string>& stated)
{
    std::map<std::string, std::string> out;
    for_each_member(members, [&](const auto& member) {
        const auto domain = stated.find(member.host);
        const auto recorded = members.domains.find(member.host);
        const bool is_known = recorded != members.domains.end() && domain != stated.end() &&
                              recorded->second == domain->second;
        if (domain != stated.end() && !is_known) {
            out.insert(*domain);
        }
    });
    return out;
}

void member_roster::record_contact(time_point now, const consensus::configuration& members,
                                   const std::function<bool(const std::string& host)>& is_connected)
{
    this->connected.clear();
    std::map<std::string, time_point> next;
    for_each_member(members, [&](const auto& member) {
        const auto known = this->last_connected.find(member.host);
        auto at = known == this->last_connected.end() ? now : known->second;
        if (is_connected(member.host)) {
            at = now;
            this->connected.insert(member.host);
        }
        next.insert_or_assign(member.host, at);
    });
    this->last_connected = std::move(next);
}

void member_roster::reset()
{
    this->last_connected.clear();
    this->connected.clear();
}

void member_roster::forget(const std::string& host)
{
    this->last_connected.erase(host);
}

bool member_roster::is_replaced_in(const std::string& domain, const consensus::member_id& member,
                                   duration silence, const consensus::configuration& members) const
{
    return std::any_of(members.voters.begin(), members.voters.end(), [&](const auto& other) {
        const auto other_domain = members.domains.find(other.host);
        return other_domain != members.domains.end() && other_domain->second == domain &&
               this->connected.contains(other.host) &&
               silence > (joined_after(members, other, member) ? duration{successor_timeout}
                                                               : duration{senior_timeout});
    });
}

std::optional<std::string>
member_roster::find_replaced(time_point now, const consensus::configuration& members) const
{
    std::optional<std::string> out;
    for_each_member(members, [&](const auto& member) {
        const auto at = this->last_connected.find(member.host);
        if (out || at == this->last_connected.end() || this->connected.contains(member.host)) {
            return;
        }
        const auto is_replaced = [&](const std::string& domain) {
            return this->is_replaced_in(domain, member, now - at->second, members);
        };
        const auto domain = members.domains.find(member.host);
        const bool replaced =
            domain != members.domains.end()
                ? is_replaced(domain->second)
                : !this->all_domains.empty() &&
                      std::all_of(this->all_domains.begin(), this->all_domains.end(), is_replaced);
        if (replaced) {
            out = member.host;
        }
    });
    return out;
}

} // namespace bth::fleet
