#include "bth/fleet/catalog.h"

#include <utility>

#include <xxhash.h>

namespace bth::fleet {

namespace {

// How cold a target still is changes with each reading; only whether it is cold counts as a change.
bool same(const dispatch::target_facts& a, const dispatch::target_facts& b)
{
    auto left = a;
    left.cold_left = b.cold_left;
    const bool both_cold = (a.cold_left > duration{}) == (b.cold_left > duration{});
    return both_cold && left == b;
}

} // namespace

bool target_catalog::take(std::vector<dispatch::target_facts> rows, time_point read_at)
{
    if (this->read && read_at < this->last_read) {
        return false;
    }
    this->read = true;
    this->last_read = read_at;
    const catalog_revision next{this->newest.value() + 1};
    bool changed = false;
    std::map<std::string, row> fresh;
    for (auto& each : rows) {
        const auto known = this->by_id.find(each.id);
        const bool is_same = known != this->by_id.end() && same(known->second.facts, each);
        changed = changed || !is_same;
        const auto since = is_same ? known->second.changed : next;
        this->gone.erase(each.id);
        auto id = each.id;
        fresh.insert_or_assign(std::move(id), row{std::move(each), since});
    }
    for (const auto& [id, old] : this->by_id) {
        if (!fresh.contains(id)) {
            this->gone[id] = next;
            changed = true;
        }
    }
    this->by_id = std::move(fresh);
    if (changed) {
        this->newest = next;
        this->renew_digest();
    }
    return changed;
}

bool target_catalog::confirm(std::uint64_t digest, time_point read_at)
{
    if (!this->read || digest != this->contents) {
        return false;
    }
    this->last_read = std::max(this->last_read, read_at);
    return true;
}

catalog_delta target_catalog::since(catalog_revision known) const
{
    catalog_delta delta;
    delta.revision = this->newest;
    delta.whole = known == catalog_revision{} || known > this->newest;
    for (const auto& [id, each] : this->by_id) {
        if (delta.whole || each.changed > known) {
            delta.changed.push_back(each.facts);
        }
    }
    if (!delta.whole) {
        for (const auto& [id, revision] : this->gone) {
            if (revision > known) {
                delta.removed.push_back(id);
            }
        }
    }
    return delta;
}

std::vector<dispatch::target_facts> target_catalog::rows() const
{
    std::vector<dispatch::target_facts> out;
    out.reserve(this->by_id.size());
    for (const auto& [id, each] : this->by_id) {
        out.push_back(each.facts);
    }
    return out;
}

void target_catalog::renew_digest()
{
    std::string text;
    for (const auto& [id, each] : this->by_id) {
        const auto& facts = each.facts;
        text += id + '\n' + facts.service + '\n' + to_string(facts.where) + '\n' + facts.domain +
                '\n' + std::to_string(facts.slots) + (facts.draining ? "d" : "-") +
                (facts.cold_left > duration{} ? "c\n" : "-\n");
    }
    this->contents = XXH64(text.data(), text.size(), 0);
}

} // namespace bth::fleet
