#include "bth/consensus/replicated_log.h"

#include <algorithm>
#include <utility>

namespace bth::consensus {

namespace {

std::ptrdiff_t offset_of(std::uint64_t count)
{
    return static_cast<std::ptrdiff_t>(count);
}

} // namespace

term_number replicated_log::term_at(log_index index) const
{
    return index == this->base_index ? this->base_term : this->at(index).term;
}

const log_entry& replicated_log::at(log_index index) const
{
    return this->entries.at(index - this->base_index - 1);
}

std::vector<log_entry> replicated_log::after(log_index from, std::size_t count,
                                             std::size_t bytes) const
{
    std::vector<log_entry> found;
    std::size_t size = 0;
    for (auto index = from + 1; index <= this->last() && found.size() < count; index = index + 1) {
        const auto& entry = this->at(index);
        size += entry.data.size();
        if (!found.empty() && size > bytes) {
            break;
        }
        found.push_back(entry);
    }
    return found;
}

void replicated_log::append(log_entry entry)
{
    const auto kept = previous(entry.index) - this->base_index;
    const bool cut = kept < this->entries.size();
    this->entries.resize(kept);
    const bool names_members = entry.kind == entry_kind::configuration;
    this->entries.push_back(std::move(entry));
    if (cut || names_members) {
        this->refresh_members();
    }
}

void replicated_log::drop_through(log_index index)
{
    this->base_members = this->members_at(index);
    this->base_term = this->term_at(index);
    const auto dropped = offset_of(index - this->base_index);
    this->entries.erase(this->entries.begin(), this->entries.begin() + dropped);
    this->base_index = index;
}

void replicated_log::reset(const snapshot& taken)
{
    this->entries.clear();
    this->base_index = taken.index;
    this->base_term = taken.term;
    this->base_members = taken.members;
    this->refresh_members();
}

configuration replicated_log::members_at(log_index index) const
{
    for (auto at = index; at > this->base_index; at = previous(at)) {
        if (this->at(at).kind == entry_kind::configuration) {
            return this->at(at).members;
        }
    }
    return this->base_members;
}

void replicated_log::refresh_members()
{
    const auto named =
        std::find_if(this->entries.rbegin(), this->entries.rend(),
                     [](const auto& e) { return e.kind == entry_kind::configuration; });
    const bool found = named != this->entries.rend();
    this->current = found ? named->members : this->base_members;
    this->current_index = found ? named->index : this->base_index;
}

} // namespace bth::consensus
