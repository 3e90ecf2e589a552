#include "bth/wire/steering_codec.h"

#include "bth/wire/steering_generated.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

namespace bth::wire {

namespace {

using flatbuffers::Offset;
using flatbuffers::String;

struct encoded_content {
    fbs::steering_content type{};
    Offset<void> offset;
};

std::uint64_t to_us(duration time)
{
    const auto us = std::chrono::duration_cast<std::chrono::microseconds>(time).count();
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, us));
}

// Encodes a message by its type, with the names of one model.
struct message_encoder {
    const config::model& model;
    flatbuffers::FlatBufferBuilder& builder;

    template <class Id>
    Offset<String> name(Id id) const
    {
        const std::string& text = this->model.at(id).name;
        return this->builder.CreateString(text.data(), text.size());
    }

    template <class Id>
    auto names(const std::vector<Id>& ids) const
    {
        std::vector<Offset<String>> rows;
        rows.reserve(ids.size());
        for (const Id id : ids) {
            rows.push_back(this->name(id));
        }
        return this->builder.CreateVector(rows);
    }

    // A vector of what `encode` makes of each row.
    template <class Row, class Encode>
    auto each(const std::vector<Row>& rows, Encode encode) const
    {
        std::vector<decltype(encode(rows.front()))> out;
        out.reserve(rows.size());
        for (const Row& row : rows) {
            out.push_back(encode(row));
        }
        return this->builder.CreateVector(out);
    }

    auto demand(const steering::service_demand& in) const
    {
        const auto service = this->name(in.service);
        const auto levels = this->each(in.levels, [&](const steering::grant_demand& row) {
            return fbs::Creategrant_demand(this->builder, row.level.value(), row.rate.value(),
                                           row.in_flight);
        });
        return fbs::Createservice_demand(this->builder, service, levels);
    }

    auto room(const steering::granted_capacity& in) const
    {
        return fbs::Creategranted_room(this->builder, this->name(in.service), in.rate.value(),
                                       in.in_flight, in.request_bytes.value(),
                                       in.answer_bytes.value());
    }

    auto hint(const steering::owner_hint& in) const
    {
        const auto service = this->name(in.service);
        const auto owner = in.owner ? this->name(*in.owner) : Offset<String>{};
        return fbs::Createowner_hint(this->builder, service, owner);
    }

    auto handed(const steering::handed_over_grant& in) const
    {
        const auto source = this->name(in.source);
        const auto holder = this->name(in.holder);
        const auto inner = this->room(in.capacity);
        return fbs::Createhanded_grant(this->builder, source, holder, in.incarnation_number.value(),
                                       inner, to_us(in.remaining));
    }

    encoded_content operator()(const steering::grant_request& in) const
    {
        const auto source = this->name(in.source);
        const auto services = this->each(
            in.services, [&](const steering::service_demand& row) { return this->demand(row); });
        const auto table = fbs::Creategrant_request(
            this->builder, source, in.incarnation_number.value(), in.sequence, services);
        return {fbs::steering_content::grant_request, table.Union()};
    }

    encoded_content operator()(const steering::capacity_grant& in) const
    {
        const auto granter = this->name(in.granter);
        const auto source = this->name(in.source);
        const auto rooms = this->each(
            in.capacities, [&](const steering::granted_capacity& row) { return this->room(row); });
        const auto elsewhere = this->each(
            in.owner_hints, [&](const steering::owner_hint& row) { return this->hint(row); });
        const auto table =
            fbs::Createcapacity_grant(this->builder, granter, source, in.incarnation_number.value(),
                                      in.sequence, to_us(in.lease), rooms, elsewhere);
        return {fbs::steering_content::capacity_grant, table.Union()};
    }

    encoded_content operator()(const steering::heartbeat& in) const
    {
        const auto owned = this->names(in.owned);
        const auto unable = this->names(in.unable);
        const auto claimed = this->names(in.claimed);
        const auto denied = this->names(in.denied);
        const auto table = fbs::Createheartbeat(
            this->builder, in.incarnation_number.value(), in.configuration.value(), in.digest,
            in.leaving, owned, unable, claimed, denied, in.sequence,
            in.acked_incarnation_number.value(), in.acked_sequence);
        return {fbs::steering_content::heartbeat, table.Union()};
    }

    encoded_content operator()(const steering::handover& in) const
    {
        const auto service = this->name(in.service);
        const auto grants = this->each(
            in.grants, [&](const steering::handed_over_grant& row) { return this->handed(row); });
        const auto busy = this->each(in.busy, [&](const steering::busy_slots& row) {
            return fbs::Createbusy_slots(this->builder, this->name(row.target), row.count);
        });
        const auto table = fbs::Createhandover(
            this->builder, service, in.incarnation_number.value(), in.sequence, grants, busy);
        return {fbs::steering_content::handover, table.Union()};
    }

    encoded_content operator()(const steering::leaving_notice& in) const
    {
        const auto targets = this->names(in.targets);
        const auto hosts = this->names(in.hosts);
        const auto table = fbs::Createleaving_notice(this->builder, targets, hosts);
        return {fbs::steering_content::leaving_notice, table.Union()};
    }

    encoded_content operator()(const steering::shift_claim& in) const
    {
        const auto service = this->name(in.service);
        const auto home = this->name(in.home);
        std::vector<fbs::shift_slice> slices;
        slices.reserve(in.history.size());
        for (const steering::shift_slice& each : in.history) {
            slices.emplace_back(each.served, each.not_shifted);
        }
        const auto history = this->builder.CreateVectorOfStructs(slices);
        const auto table = fbs::Createshift_claim(this->builder, service, home, in.settled.value(),
                                                  in.direct.value(), history);
        return {fbs::steering_content::shift_claim, table.Union()};
    }
};

} // namespace

bytes encode_steering(const config::model& model, const steering::peer_message& message)
{
    flatbuffers::FlatBufferBuilder builder;
    const encoded_content content = std::visit(message_encoder{model, builder}, message);
    fbs::Finishsteering_frameBuffer(
        builder, fbs::Createsteering_frame(builder, content.type, content.offset));
    return {builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize()};
}

} // namespace bth::wire
