#include "bth/gateway/handoff.h"

#include "bth/gateway/internal/handoff_generated.h"
#include "bth/shell/response_head.h"

#include <algorithm>
#include <memory>
#include <utility>
#include <vector>

namespace bth::gateway {

namespace {

using dispatch::fractional_ms;

std::uint32_t to_whole_ms(fractional_ms time)
{
    return static_cast<std::uint32_t>(std::clamp(time.count(), 0.0, 1e9));
}

std::vector<std::uint8_t> to_bytes(const std::string& text)
{
    return {text.begin(), text.end()};
}

std::string to_text(const std::vector<std::uint8_t>& bytes)
{
    return {bytes.begin(), bytes.end()};
}

frames::OrderT pack(const handoff_request& from)
{
    frames::OrderT out;
    out.id = from.id;
    out.target = from.target;
    out.route = from.route;
    out.service = from.service;
    out.request_id = from.request_id;
    out.fingerprint = from.fingerprint.value();
    out.object = from.object;
    out.bytes = to_bytes(from.request_bytes);
    out.to_head = from.is_head;
    out.once = from.at_most_once;
    out.time_left_ms = to_whole_ms(from.remaining_time);
    out.objective_left_ms = to_whole_ms(from.remaining_objective_time);
    out.priority = from.priority;
    out.cold_ms = to_whole_ms(from.remaining_cold_time);
    out.limit_per_s = from.limit.value_or(0.0);
    out.allowed_regions = from.allowed_regions;
    return out;
}

handoff_request unpack(const frames::OrderT& from)
{
    handoff_request out;
    out.id = from.id;
    out.target = from.target;
    out.route = from.route;
    out.service = from.service;
    out.request_id = from.request_id;
    out.fingerprint = dispatch::request_fingerprint{from.fingerprint};
    out.object = from.object;
    out.request_bytes = to_text(from.bytes);
    out.is_head = from.to_head;
    out.at_most_once = from.once;
    out.remaining_time = std::chrono::milliseconds{from.time_left_ms};
    out.remaining_objective_time = std::chrono::milliseconds{from.objective_left_ms};
    out.priority = from.priority;
    out.remaining_cold_time = std::chrono::milliseconds{from.cold_ms};
    if (from.limit_per_s > 0.0) {
        out.limit = from.limit_per_s;
    }
    out.allowed_regions = from.allowed_regions;
    return out;
}

frames::OutcomeT pack(const handoff_outcome& from)
{
    frames::OutcomeT out;
    out.id = from.id;
    out.outcome = static_cast<std::uint8_t>(from.result.outcome);
    out.declined = static_cast<std::uint8_t>(from.declined);
    out.may_have_run = from.result.may_have_run;
    out.arrived = from.result.may_have_arrived;
    out.target_refuses = from.result.target_refuses;
    out.known = from.object_sent_recently;
    out.took_ms = static_cast<float>(from.took.count());
    out.wait_ms = static_cast<float>(from.expected_wait.count());
    out.at_target = from.at_target;
    out.leaves = from.result.signals.leaves;
    if (from.result.signals.rest) {
        out.has_rest = true;
        out.rest_ms = to_whole_ms(*from.result.signals.rest);
    }
    if (from.result.signals.limit) {
        out.has_limit = true;
        out.limit_per_s = *from.result.signals.limit;
    }
    out.has_no_limit = from.result.signals.has_no_limit;
    if (from.result.response) {
        const auto& response = *from.result.response;
        out.has_answer = true;
        out.status = static_cast<std::uint16_t>(response.status);
        out.fields = response.header_lines;
        out.bodyless_length = response.head_content_length;
        out.body = to_bytes(response.body);
    }
    return out;
}

// Returns whether the response that another host read may be passed on. An older build reads heads
// less strictly.
bool is_relayable(const frames::OutcomeT& from)
{
    return shell::is_final_status(from.status) && shell::are_field_lines(from.fields) &&
           shell::is_length(from.bodyless_length);
}

std::optional<handoff_message> unpack(const frames::OutcomeT& from)
{
    const bool known_values =
        from.outcome <= static_cast<std::uint8_t>(dispatch::send_outcome::abandoned) &&
        from.declined <= static_cast<std::uint8_t>(decline_reason::suspect);
    if (!known_values) {
        return std::nullopt;
    }
    handoff_outcome out;
    out.id = from.id;
    out.declined = static_cast<decline_reason>(from.declined);
    out.result.outcome = static_cast<dispatch::send_outcome>(from.outcome);
    out.result.may_have_run = from.may_have_run;
    out.result.may_have_arrived = from.arrived;
    out.result.target_refuses = from.target_refuses;
    out.object_sent_recently = from.known;
    out.took = fractional_ms{from.took_ms};
    out.expected_wait = fractional_ms{from.wait_ms};
    out.at_target = from.at_target;
    out.result.signals.leaves = from.leaves;
    if (from.has_rest) {
        out.result.signals.rest = std::chrono::milliseconds{from.rest_ms};
    }
    // Comparing so rejects what is no number.
    if (from.has_limit && from.limit_per_s >= 0.0) {
        out.result.signals.limit = from.limit_per_s;
    }
    out.result.signals.has_no_limit = from.has_no_limit;
    if (from.has_answer && !is_relayable(from)) {
        out.result.outcome = dispatch::send_outcome::broken;
        out.result.may_have_run = true;
    }
    else if (from.has_answer) {
        out.result.response = caller_response{from.status, from.fields, to_text(from.body),
                                              from.bodyless_length, false};
    }
    return out;
}

frames::CancelT pack(const handoff_cancel& from)
{
    frames::CancelT out;
    out.id = from.id;
    return out;
}

frames::PingT pack(const handoff_ping& from)
{
    frames::PingT out;
    out.reply = from.reply;
    return out;
}

} // namespace

std::string encode_handoff(const handoff_message& message)
{
    frames::FrameT frame;
    std::visit([&](const auto& body) { frame.body.Set(pack(body)); }, message);
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(frames::Frame::Pack(builder, &frame));
    return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

std::optional<handoff_message> decode_handoff(std::string_view bytes)
{
    const auto* data = reinterpret_cast<const std::uint8_t*>(bytes.data());
    flatbuffers::Verifier verifier{data, bytes.size()};
    if (!frames::VerifyFrameBuffer(verifier)) {
        return std::nullopt;
    }
    const std::unique_ptr<frames::FrameT> frame{frames::GetFrame(data)->UnPack()};
    if (const auto* order = frame->body.AsOrder()) {
        return unpack(*order);
    }
    if (const auto* outcome = frame->body.AsOutcome()) {
        return unpack(*outcome);
    }
    if (const auto* cancel = frame->body.AsCancel()) {
        return handoff_cancel{cancel->id};
    }
    if (const auto* ping = frame->body.AsPing()) {
        return handoff_ping{ping->reply};
    }
    return std::nullopt;
}

} // namespace bth::gateway
