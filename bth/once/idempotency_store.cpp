#include "bth/once/idempotency_store.h"

#include <utility>

namespace bth::once {

namespace {

// Sent while the first run of the same key is still in flight.
constexpr duration running_retry_after = std::chrono::seconds{1};
// Sent while the store has no capacity for another record.
constexpr duration store_full_retry_after = std::chrono::seconds{10};

verdict make_refusal(refusal_reason reason, run_state run, duration retry_after)
{
    verdict result;
    result.reason = reason;
    result.run = run;
    result.retry_after = retry_after;
    return result;
}

verdict allow_run()
{
    verdict result;
    result.action = decision::run;
    return result;
}

std::size_t byte_size(const stored_answer& answer)
{
    std::size_t bytes = answer.body.size();
    for (const auto& [name, value] : answer.fields) {
        bytes += name.size() + value.size();
    }
    return bytes;
}

} // namespace

idempotency_store::idempotency_store(idempotency_store_settings given) : settings{std::move(given)}
{}

std::uint64_t idempotency_store::epoch_at(time_point now)
{
    this->epoch_zero_start = this->epoch_zero_start.value_or(now);
    return static_cast<std::uint64_t>((now - *this->epoch_zero_start) /
                                      this->settings.epoch_length);
}

std::string idempotency_store::prefix(time_point now)
{
    std::string result = make_prefix(
        {this->settings.host_name, this->settings.incarnation_number, this->epoch_at(now)});
    result.append(std::to_string(++this->prefix_count)).push_back('-');
    return result;
}

std::optional<time_point> idempotency_store::key_expiry(const std::optional<key_origin>& origin,
                                                        time_point now)
{
    const std::uint64_t current_epoch = this->epoch_at(now);
    if (!origin) {
        return now + this->settings.lifetime;
    }
    if (origin->incarnation_number != this->settings.incarnation_number ||
        origin->epoch > current_epoch) {
        return std::nullopt;
    }
    const auto next_epoch = static_cast<std::int64_t>(origin->epoch) + 1;
    return *this->epoch_zero_start + this->settings.epoch_length * next_epoch +
           this->settings.lifetime;
}

verdict idempotency_store::decide(const record& known, std::uint64_t fingerprint)
{
    if (known.fingerprint != fingerprint) {
        return make_refusal(refusal_reason::bad_request, run_state::no, {});
    }
    if (known.state == record_state::running) {
        return make_refusal(refusal_reason::already_run, run_state::unknown, running_retry_after);
    }
    if (known.state == record_state::not_run) {
        return allow_run();
    }
    if (known.state == record_state::answered && known.answer) {
        verdict replayed;
        replayed.action = decision::replay;
        replayed.answer = &*known.answer;
        return replayed;
    }
    return make_refusal(refusal_reason::already_run, run_state::unknown, {});
}

verdict idempotency_store::begin(std::string_view key, std::uint64_t fingerprint, time_point now)
{
    if (key.empty() || key.size() > max_key_bytes) {
        return make_refusal(refusal_reason::bad_request, run_state::no, {});
    }
    const auto origin = parse_origin(key);
    if (origin && origin->host != this->settings.host_name) {
        verdict forwarded;
        forwarded.action = decision::forward;
        forwarded.host = origin->host;
        return forwarded;
    }
    this->erase_expired(now);
    if (const auto found = this->records.find(key); found != this->records.end()) {
        verdict result = decide(found->second, fingerprint);
        if (result.action == decision::run) {
            found->second.state = record_state::running;
            ++this->running_count;
        }
        return result;
    }
    const auto expiry = this->key_expiry(origin, now);
    if (!expiry || *expiry <= now) {
        return make_refusal(refusal_reason::already_run, run_state::unknown, {});
    }
    if (this->records.size() >= this->settings.max_records) {
        return make_refusal(refusal_reason::queue_full, run_state::no, store_full_retry_after);
    }
    this->records.emplace(std::string{key}, record{fingerprint, {}, std::nullopt, *expiry});
    this->expiries.emplace(*expiry, std::string{key});
    ++this->running_count;
    return allow_run();
}

void idempotency_store::store_answer(record& known, std::optional<stored_answer> answer)
{
    if (!answer) {
        return;
    }
    const std::size_t bytes = byte_size(*answer);
    if (bytes <= this->settings.max_answer_bytes &&
        this->stored_bytes + bytes <= this->settings.max_stored_bytes) {
        this->stored_bytes += bytes;
        known.answer = std::move(answer);
    }
}

void idempotency_store::finish(std::string_view key, run_outcome outcome,
                               std::optional<stored_answer> answer, time_point now)
{
    const auto found = this->records.find(key);
    if (found == this->records.end() || found->second.state != record_state::running) {
        return;
    }
    --this->running_count;
    if (outcome == run_outcome::not_run) {
        found->second.state = record_state::not_run;
    }
    else if (outcome == run_outcome::answered) {
        found->second.state = record_state::answered;
        this->store_answer(found->second, std::move(answer));
    }
    else {
        found->second.state = record_state::unknown;
    }
    this->erase_expired(now);
}

void idempotency_store::erase_record(std::map<std::string, record, std::less<>>::iterator found)
{
    if (found->second.answer) {
        this->stored_bytes -= byte_size(*found->second.answer);
    }
    this->records.erase(found);
}

// Erases expired records. The record of a request that still runs is kept, and checked again one
// key epoch later.
void idempotency_store::erase_expired(time_point now)
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
        this->erase_record(found);
    }
}

} // namespace bth::once
