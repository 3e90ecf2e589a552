#include "bth/wire/steering_codec.h"

#include "bth/wire/steering_generated.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <string_view>
#include <utility>
#include <vector>

namespace bth::wire {

namespace {

using flatbuffers::Offset;
using flatbuffers::String;
using flatbuffers::Vector;

// No lease is longer than this.
constexpr std::uint64_t max_lease_us = 3'600'000'000ULL;

std::string_view view(const String* value)
{
    return {value->c_str(), value->size()};
}

duration from_us(std::uint64_t time)
{
    return std::chrono::microseconds{static_cast<std::int64_t>(std::min(time, max_lease_us))};
}

// Reads a message by its type, into the ids of one model.
class message_decoder {
public:
    explicit message_decoder(const config::model& model) : model{model} {}

    // Whether a number was out of its range.
    bool failed() const { return this->bad; }

    std::optional<steering::peer_message> read(const fbs::steering_frame& frame)
    {
        switch (frame.content_type()) {
        case fbs::steering_content::grant_request:
            return this->read_request(*frame.content_as_grant_request());
        case fbs::steering_content::capacity_grant:
            return this->read_grant(*frame.content_as_capacity_grant());
        case fbs::steering_content::heartbeat:
            return this->read_heartbeat(*frame.content_as_heartbeat());
        case fbs::steering_content::handover:
            return this->read_handover(*frame.content_as_handover());
        case fbs::steering_content::leaving_notice:
            return this->read_notice(*frame.content_as_leaving_notice());
        case fbs::steering_content::shift_claim:
            return this->read_claim(*frame.content_as_shift_claim());
        case fbs::steering_content::NONE:
            break;
        }
        this->bad = true;
        return std::nullopt;
    }

private:
    auto service(const String* name) const { return config::find_service(this->model, view(name)); }
    auto domain(const String* name) const { return config::find_domain(this->model, view(name)); }
    auto host(const String* name) const { return config::find_host(this->model, view(name)); }
    auto target(const String* name) const { return config::find_target(this->model, view(name)); }

    template <class Quantity>
    Quantity quantity(double value)
    {
        this->bad = this->bad || !std::isfinite(value) || value < 0;
        return Quantity{value};
    }

    // What `decode` makes of each row of a list, without those that it makes nothing of.
    template <class Out, class Row, class Decode>
    std::vector<Out> each(const Vector<Offset<Row>>* rows, Decode decode) const
    {
        std::vector<Out> out;
        for (flatbuffers::uoffset_t i = 0; rows != nullptr && i < rows->size(); ++i) {
            if (auto row = decode(rows->Get(i))) {
                out.push_back(std::move(*row));
            }
        }
        return out;
    }

    std::vector<service_id> services(const Vector<Offset<String>>* names) const
    {
        return this->each<service_id>(names,
                                      [&](const String* name) { return this->service(name); });
    }

    std::optional<steering::service_demand> demand(const fbs::service_demand& in)
    {
        const auto id = this->service(in.service());
        if (!id) {
            return std::nullopt;
        }
        auto levels =
            this->each<steering::grant_demand>(in.levels(), [&](const fbs::grant_demand* row) {
                return std::optional{steering::grant_demand{
                    priority_level{row->level()}, this->quantity<request_rate>(row->rate()),
                    row->in_flight()}};
            });
        return steering::service_demand{*id, std::move(levels)};
    }

    std::optional<steering::granted_capacity> room(const fbs::granted_room& in)
    {
        const auto id = this->service(in.service());
        if (!id) {
            return std::nullopt;
        }
        return steering::granted_capacity{*id, this->quantity<request_rate>(in.rate()),
                                          in.in_flight(),
                                          this->quantity<link_rate>(in.request_bytes()),
                                          this->quantity<link_rate>(in.answer_bytes())};
    }

    std::optional<steering::owner_hint> hint(const fbs::owner_hint& in) const
    {
        const auto id = this->service(in.service());
        if (!id) {
            return std::nullopt;
        }
        return steering::owner_hint{*id,
                                    in.owner() == nullptr ? std::nullopt : this->host(in.owner())};
    }

    std::optional<steering::handed_over_grant> handed(const fbs::handed_grant& in)
    {
        const auto source = this->domain(in.source());
        const auto holder = this->host(in.holder());
        const auto inner = this->room(*in.room());
        if (!source || !holder || !inner) {
            return std::nullopt;
        }
        return steering::handed_over_grant{*source, *holder, incarnation{in.life()}, *inner,
                                           from_us(in.remaining_us())};
    }

    std::optional<steering::peer_message> read_request(const fbs::grant_request& in)
    {
        const auto source = this->domain(in.source());
        if (!source) {
            return std::nullopt;
        }
        return steering::grant_request{
            *source, incarnation{in.life()}, in.sequence(),
            this->each<steering::service_demand>(
                in.services(), [&](const fbs::service_demand* row) { return this->demand(*row); })};
    }

    std::optional<steering::peer_message> read_grant(const fbs::capacity_grant& in)
    {
        const auto granter = this->domain(in.granter());
        const auto source = this->domain(in.source());
        if (!granter || !source) {
            return std::nullopt;
        }
        steering::capacity_grant out;
        out.granter = *granter;
        out.source = *source;
        out.incarnation_number = incarnation{in.life()};
        out.sequence = in.sequence();
        out.lease = from_us(in.lease_us());
        out.capacities = this->each<steering::granted_capacity>(
            in.rooms(), [&](const fbs::granted_room* row) { return this->room(*row); });
        out.owner_hints = this->each<steering::owner_hint>(
            in.elsewhere(), [&](const fbs::owner_hint* row) { return this->hint(*row); });
        return out;
    }

    steering::peer_message read_heartbeat(const fbs::heartbeat& in) const
    {
        steering::heartbeat out;
        out.incarnation_number = incarnation{in.life()};
        out.configuration = revision{in.configuration()};
        out.digest = in.digest();
        out.leaving = in.leaving();
        out.owned = this->services(in.owned());
        out.unable = this->services(in.unable());
        out.claimed = this->services(in.claimed());
        out.denied = this->services(in.denied());
        out.sequence = in.sequence();
        out.acked_incarnation_number = incarnation{in.acked_life()};
        out.acked_sequence = in.acked_sequence();
        return out;
    }

    std::optional<steering::peer_message> read_handover(const fbs::handover& in)
    {
        const auto id = this->service(in.service());
        if (!id) {
            return std::nullopt;
        }
        steering::handover out;
        out.service = *id;
        out.incarnation_number = incarnation{in.life()};
        out.sequence = in.sequence();
        out.grants = this->each<steering::handed_over_grant>(
            in.grants(), [&](const fbs::handed_grant* row) { return this->handed(*row); });
        out.busy = this->each<steering::busy_slots>(
            in.busy(), [&](const fbs::busy_slots* row) -> std::optional<steering::busy_slots> {
                const auto id_of_target = this->target(row->target());
                if (!id_of_target) {
                    return std::nullopt;
                }
                return steering::busy_slots{*id_of_target, row->count()};
            });
        return out;
    }

    steering::peer_message read_notice(const fbs::leaving_notice& in) const
    {
        return steering::leaving_notice{
            this->each<target_id>(in.targets(),
                                  [&](const String* name) { return this->target(name); }),
            this->each<host_id>(in.hosts(), [&](const String* name) { return this->host(name); })};
    }

    std::optional<steering::peer_message> read_claim(const fbs::shift_claim& in)
    {
        const auto id = this->service(in.service());
        const auto home = this->domain(in.home());
        const auto settled = this->quantity<request_rate>(in.settled());
        const auto direct = this->quantity<request_rate>(in.direct());
        if (!id || !home) {
            return std::nullopt;
        }
        return steering::shift_claim{*id, *home, settled, direct, this->history(in.history())};
    }

    std::vector<steering::shift_slice> history(const Vector<const fbs::shift_slice*>* rows)
    {
        std::vector<steering::shift_slice> out;
        for (flatbuffers::uoffset_t i = 0; rows != nullptr && i < rows->size(); ++i) {
            const fbs::shift_slice* row = rows->Get(i);
            this->bad = this->bad || row->kept() > row->served();
            out.push_back({row->served(), row->kept()});
        }
        return out;
    }

    const config::model& model;
    bool bad{};
};

} // namespace

decoded_steering decode_steering(const config::model& model, byte_view payload)
{
    flatbuffers::Verifier verifier{payload.data(), payload.size()};
    if (payload.empty() || !fbs::Verifysteering_frameBuffer(verifier)) {
        return {};
    }
    const fbs::steering_frame* frame = fbs::Getsteering_frame(payload.data());
    if (frame->content() == nullptr) {
        return {};
    }
    message_decoder decoder{model};
    auto message = decoder.read(*frame);
    if (decoder.failed()) {
        return {};
    }
    return {true, std::move(message)};
}

} // namespace bth::wire
