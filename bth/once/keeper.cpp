#include "bth/once/keeper.h"

#include <utility>

namespace bth::once {

namespace {

constexpr duration run_retry_after = std::chrono::seconds{1};
constexpr duration full_retry_after = std::chrono::seconds{10};

verdict refusal(refusal_reason reason, run_state run, duration retry_after)
{
    verdict made;
    made.reason = reason;
    made.run = run;
    made.retry_after = retry_after;
    return made;
}

verdict permission()
{
    verdict made;
    made.what = decision::run;
    return made;
}

std::size_t size_of(const stored_answer& answer)
{
    std::size_t bytes = answer.body.size();
    for (const auto& [name, value] : answer.fields) {
        bytes += name.size() + value.size();
    }
    return bytes;
}

} // namespace

keeper::keeper(keeper_settings given) : settings{std::move(given)} {}

std::uint64_t keeper::epoch_at(time_point now)
{
    this->started = this->started.value_or(now);
    return static_cast<std::uint64_t>((now - *this->started) / this->settings.epoch_length);
}

std::string keeper::prefix(time_point now)
{
    std::string made =
        make_prefix({this->settings.host_name, this->settings.life, this->epoch_at(now)});
    made.append(std::to_string(++this->prefix_count)).push_back('-');
    return made;
}

std::optional<time_point> keeper::end_of_key(const std::optional<key_origin>& origin,
                                             time_point now)
{
    const std::uint64_t present = this->epoch_at(now);
    if (!origin) {
        return now + this->settings.lifetime;
    }
    if (origin->life != this->settings.life || origin->epoch > present) {
        return std::nullopt;
    }
    const auto ended = static_cast<std::int64_t>(origin->epoch) + 1;
    return *this->started + this->settings.epoch_length * ended + this->settings.lifetime;
}

verdict keeper::judge(const record& known, std::uint64_t fingerprint)
{
    if (known.fingerprint != fingerprint) {
        return refusal(refusal_reason::bad_request, run_state::no, {});
    }
    if (known.state == record_state::running) {
        return refusal(refusal_reason::already_run, run_state::unknown, run_retry_after);
    }
    if (known.state == record_state::not_run) {
        return permission();
    }
    if (known.state == record_state::answered && known.answer) {
        verdict replayed;
        replayed.what = decision::replay;
        replayed.answer = &*known.answer;
        return replayed;
    }
    return refusal(refusal_reason::already_run, run_state::unknown, {});
}

verdict keeper::begin(std::string_view key, std::uint64_t fingerprint, time_point now)
{
    if (key.empty() || key.size() > longest_key) {
        return refusal(refusal_reason::bad_request, run_state::no, {});
    }
    const auto origin = parse_origin(key);
    if (origin && origin->host != this->settings.host_name) {
        verdict forwarded;
        forwarded.what = decision::forward;
        forwarded.host = origin->host;
        return forwarded;
    }
    this->expire(now);
    if (const auto found = this->records.find(key); found != this->records.end()) {
        verdict judged = judge(found->second, fingerprint);
        if (judged.what == decision::run) {
            found->second.state = record_state::running;
            ++this->running_count;
        }
        return judged;
    }
    const auto end = this->end_of_key(origin, now);
    if (!end || *end <= now) {
        return refusal(refusal_reason::already_run, run_state::unknown, {});
    }
    if (this->records.size() >= this->settings.most_records) {
        return refusal(refusal_reason::queue_full, run_state::no, full_retry_after);
    }
    this->records.emplace(std::string{key}, record{fingerprint, {}, std::nullopt, *end});
    this->expiries.emplace(*end, std::string{key});
    ++this->running_count;
    return permission();
}

void keeper::keep(record& known, std::optional<stored_answer> answer)
{
    if (!answer) {
        return;
    }
    const std::size_t bytes = size_of(*answer);
    if (bytes <= this->settings.most_answer_bytes &&
        this->kept_bytes + bytes <= this->settings.most_kept_bytes) {
        this->kept_bytes += bytes;
        known.answer = std::move(answer);
    }
}

void keeper::finish(std::string_view key, ending how, std::optional<stored_answer> answer,
                    time_point now)
{
    const auto found = this->records.find(key);
    if (found == this->records.end() || found->second.state != record_state::running) {
        return;
    }
    --this->running_count;
    if (how == ending::not_run) {
        found->second.state = record_state::not_run;
    }
    else if (how == ending::answered) {
        found->second.state = record_state::answered;
        this->keep(found->second, std::move(answer));
    }
    else {
        found->second.state = record_state::unknown;
    }
    this->expire(now);
}

void keeper::drop(std::map<std::string, record, std::less<>>::iterator found)
{
    if (found->second.answer) {
        this->kept_bytes -= size_of(*found->second.answer);
    }
    this->records.erase(found);
}

// A record that still runs when its key expires is looked at again an epoch later.
void keeper::expire(time_point now)
{
    while (!this->expiries.empty() && this->expiries.begin()->first <= now) {
        auto node = this->expiries.extract(this->expiries.begin());
        const auto found = this->records.find(node.mapped());
        if (found == this->records.end() || found->second.expires > now) {
            continue;
        }
        if (found->second.state == record_state::running) {
            node.key() = now + this->settings.epoch_length;
            this->expiries.insert(std::move(node));
            continue;
        }
        this->drop(found);
    }
}

} // namespace bth::once
