#include "bth/entry/keyed_request.h"

#include <utility>

#include <xxhash.h>

namespace bth::entry {

namespace {

constexpr unsigned http_1_1 = 11;
constexpr duration other_host_retry_after = std::chrono::seconds{1};
// The response body is no longer collected for the idempotency records once it exceeds this length,
// as the records don't keep longer responses.
constexpr std::size_t max_collected_bytes = std::size_t{64} * 1024;

// Whether the field depends on how the body is sent; a replayed response gets its own.
bool is_framing_field(http::field name)
{
    return name == http::field::content_length || name == http::field::transfer_encoding ||
           name == http::field::connection;
}

full_response make_replayed_response(const once::stored_answer& stored)
{
    full_response response{static_cast<http::status>(stored.status), http_1_1};
    for (const auto& [name, value] : stored.fields) {
        response.insert(name, value);
    }
    response.body() = stored.body;
    return response;
}

} // namespace

keyed_request::keyed_request(once::idempotency_store& records, std::string key)
    : records{records}, key{std::move(key)}
{}

once::verdict keyed_request::begin(std::string_view identity, time_point now)
{
    return this->records.begin(this->key, XXH3_64bits(identity.data(), identity.size()), now);
}

void keyed_request::record_head(const response_head& head)
{
    this->response.status = head.result_int();
    for (const auto& field : head) {
        if (!is_framing_field(field.name())) {
            this->response.fields.emplace_back(field.name_string(), field.value());
        }
    }
}

void keyed_request::record_body(const body_chunk& part)
{
    if (this->response.body.size() <= max_collected_bytes) {
        this->response.body.append(part.bytes.begin(), part.bytes.end());
    }
    if (part.last) {
        this->outcome = once::run_outcome::answered;
    }
}

void keyed_request::record_refusal(run_state run)
{
    this->outcome = run == run_state::no ? once::run_outcome::not_run : once::run_outcome::unknown;
}

void keyed_request::finish(time_point now)
{
    const bool answered = this->outcome == once::run_outcome::answered;
    this->records.finish(this->key, this->outcome,
                         answered ? std::optional{std::move(this->response)} : std::nullopt, now);
}

full_response response_without_run(const once::verdict& key_decision)
{
    if (key_decision.action == once::decision::replay) {
        return make_replayed_response(*key_decision.answer);
    }
    if (key_decision.action == once::decision::forward) {
        auto response = make_refusal_response(http_1_1, refusal_reason::already_run,
                                              run_state::unknown, other_host_retry_after);
        response.set(key_host_field, key_decision.host);
        return response;
    }
    return make_refusal_response(http_1_1, key_decision.reason, key_decision.run,
                                 key_decision.retry_after);
}

} // namespace bth::entry
