#include "bth/fleet/catalog.h"

#include <utility>

#include <xxhash.h>

namespace bth::fleet {

namespace {

// The remaining cold time changes with each reading, so only whether a target is cold counts.
bool same_except_cold_time(const dispatch::target_info& a, const dispatch::target_info& b)
{
    auto left = a;
    left.remaining_cold_time = b.remaining_cold_time;
    const bool both_cold =
        (a.remaining_cold_time > duration{}) == (b.remaining_cold_time > duration{});
    return both_cold && left == b;
}

} // namespace

bool target_catalog::record_reading(std::vector<dispatch::target_info> rows, time_point read_at)
{
    if (this->has_reading && read_at < this->latest_read_at) {
        return false;
    }
    this->has_reading = true;
    this->latest_read_at = read_at;
    const catalog_revision new_revision{this->current_revision.value() + 1};
    bool changed = false;
    std::map<std::string, row> new_rows;
    for (auto& each : rows) {
        const auto known = this->by_id.find(each.id);
        const bool unchanged =
            known != this->by_id.end() && same_except_cold_time(known->second.facts, each);
        changed = changed || !unchanged;
        const auto row_changed_in = unchanged ? known->second.changed_in : new_revision;
        this->removed_in.erase(each.id);
        auto id = each.id;
        new_rows.insert_or_assign(std::move(id), row{std::move(each), row_changed_in});
    }
    for (const auto& [id, old] : this->by_id) {
        if (!new_rows.contains(id)) {
            this->removed_in[id] = new_revision;
            changed = true;
        }
    }
    this->by_id = std::move(new_rows);
    if (changed) {
        this->current_revision = new_revision;
        this->update_digest();
    }
    return changed;
}

bool target_catalog::confirm(std::uint64_t digest, time_point read_at)
{
    if (!this->has_reading || digest != this->rows_digest) {
        return false;
    }
    this->latest_read_at = std::max(this->latest_read_at, read_at);
    return true;
}

catalog_delta target_catalog::changes_since(catalog_revision held_revision) const
{
    catalog_delta delta;
    delta.revision = this->current_revision;
    delta.is_full = held_revision == catalog_revision{} || held_revision > this->current_revision;
    for (const auto& [id, each] : this->by_id) {
        if (delta.is_full || each.changed_in > held_revision) {
            delta.changed.push_back(each.facts);
        }
    }
    if (!delta.is_full) {
        for (const auto& [id, revision] : this->removed_in) {
            if (revision > held_revision) {
                delta.removed.push_back(id);
            }
        }
    }
    return delta;
}

std::vector<dispatch::target_info> target_catalog::rows() const
{
    std::vector<dispatch::target_info> out;
    out.reserve(this->by_id.size());
    for (const auto& [id, each] : this->by_id) {
        out.push_back(each.facts);
    }
    return out;
}

void target_catalog::update_digest()
{
    std::string text;
    for (const auto& [id, each] : this->by_id) {
        const auto& facts = each.facts;
        text += id + '\n' + facts.service + '\n' + to_string(facts.target_endpoint) + '\n' +
                facts.domain + '\n' + std::to_string(facts.slots) + (facts.draining ? "d" : "-") +
                (facts.remaining_cold_time > duration{} ? "c\n" : "-\n");
    }
    this->rows_digest = XXH64(text.data(), text.size(), 0);
}

} // namespace bth::fleet
