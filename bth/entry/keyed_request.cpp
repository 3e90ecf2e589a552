#include "bth/entry/keyed_request.h"

#include <utility>

#include <xxhash.h>

namespace bth::entry {

namespace {

constexpr unsigned http_1_1 = 11;
constexpr duration other_host_retry_after = std::chrono::seconds{1};
// Longer answers aren't kept, so that no more of them is collected.
constexpr std::size_t most_collected_bytes = std::size_t{64} * 1024;

bool concerns_length(http::field name)
{
    return name == http::field::content_length || name == http::field::transfer_encoding ||
           name == http::field::connection;
}

whole_answer replayed(const once::stored_answer& stored)
{
    whole_answer answer{static_cast<http::status>(stored.status), http_1_1};
    for (const auto& [name, value] : stored.fields) {
        answer.insert(name, value);
    }
    answer.body() = stored.body;
    return answer;
}

} // namespace

keyed_request::keyed_request(once::idempotency_store& records, std::string key)
    : records{records}, key{std::move(key)}
{}

once::verdict keyed_request::begin(std::string_view identity, time_point now)
{
    return this->records.begin(this->key, XXH3_64bits(identity.data(), identity.size()), now);
}

void keyed_request::take_head(const answer_head& head)
{
    this->answer.status = head.result_int();
    for (const auto& field : head) {
        if (!concerns_length(field.name())) {
            this->answer.fields.emplace_back(field.name_string(), field.value());
        }
    }
}

void keyed_request::take_part(const body_chunk& part)
{
    if (this->answer.body.size() <= most_collected_bytes) {
        this->answer.body.append(part.bytes.begin(), part.bytes.end());
    }
    if (part.last) {
        this->how = once::run_outcome::answered;
    }
}

void keyed_request::take_refusal(run_state run)
{
    this->how = run == run_state::no ? once::run_outcome::not_run : once::run_outcome::unknown;
}

void keyed_request::end(time_point now)
{
    const bool answered = this->how == once::run_outcome::answered;
    this->records.finish(this->key, this->how,
                         answered ? std::optional{std::move(this->answer)} : std::nullopt, now);
}

whole_answer answer_without_run(const once::verdict& verdict)
{
    if (verdict.action == once::decision::replay) {
        return replayed(*verdict.answer);
    }
    if (verdict.action == once::decision::forward) {
        auto answer = make_refusal(http_1_1, refusal_reason::already_run, run_state::unknown,
                                   other_host_retry_after);
        answer.set(key_host_field, verdict.host);
        return answer;
    }
    return make_refusal(http_1_1, verdict.reason, verdict.run, verdict.retry_after);
}

} // namespace bth::entry
