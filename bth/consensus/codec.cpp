#include "bth/consensus/codec.h"

#include "bth/consensus/internal/consensus_generated.h"

#include <utility>

namespace bth::consensus {

namespace {

namespace fb = flatbuffers;
using builder = fb::FlatBufferBuilder;

constexpr fb::uoffset_t verify_depth = 16;
constexpr fb::uoffset_t verify_tables = 10'000'000;

template <class Table>
std::string finish(builder& out, fb::Offset<Table> root)
{
    out.Finish(root);
    return {reinterpret_cast<const char*>(out.GetBufferPointer()), out.GetSize()};
}

template <class Table>
const Table* verified(std::string_view bytes)
{
    const auto* data = reinterpret_cast<const std::uint8_t*>(bytes.data());
    fb::Verifier verifier{data, bytes.size(), verify_depth, verify_tables};
    return verifier.VerifyBuffer<Table>(nullptr) ? fb::GetRoot<Table>(data) : nullptr;
}

fb::Offset<fb::Vector<std::uint8_t>> write_bytes(builder& out, const std::string& bytes)
{
    return out.CreateVector(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
}

std::string read_bytes(const fb::Vector<std::uint8_t>* bytes)
{
    return bytes == nullptr ? std::string{} : std::string{bytes->begin(), bytes->end()};
}

fb::Offset<frames::member> write(builder& out, const member_id& member)
{
    return frames::Createmember(out, out.CreateString(member.host), member.life.value());
}

member_id read(const frames::member& member)
{
    return {member.host()->str(), incarnation{member.life()}};
}

fb::Offset<frames::member_set> write(builder& out, const configuration& members)
{
    std::vector<fb::Offset<frames::member>> voters;
    std::vector<fb::Offset<frames::member>> learners;
    const auto write_with_domain = [&](const member_id& member) {
        const auto domain = members.domains.find(member.host);
        const auto host_name = out.CreateString(member.host);
        const auto domain_name =
            domain == members.domains.end() ? 0 : out.CreateString(domain->second);
        return frames::Createmember(out, host_name, member.life.value(), domain_name);
    };
    for (const auto& voter : members.voters) {
        voters.push_back(write_with_domain(voter));
    }
    for (const auto& learner : members.learners) {
        learners.push_back(write_with_domain(learner));
    }
    return frames::Createmember_setDirect(out, &voters, &learners);
}

configuration read(const frames::member_set* members)
{
    configuration read_set;
    if (members == nullptr) {
        return read_set;
    }
    const auto copy = [&read_set](const auto* from, std::vector<member_id>& to) {
        for (fb::uoffset_t i = 0; from != nullptr && i < from->size(); ++i) {
            const auto& member = *from->Get(i);
            to.push_back(read(member));
            if (member.domain() != nullptr) {
                read_set.domains.insert_or_assign(member.host()->str(), member.domain()->str());
            }
        }
    };
    copy(members->voters(), read_set.voters);
    copy(members->learners(), read_set.learners);
    return read_set;
}

using entry_vector = fb::Vector<fb::Offset<frames::entry>>;

fb::Offset<entry_vector> write(builder& out, const std::vector<log_entry>& entries)
{
    std::vector<fb::Offset<frames::entry>> rows;
    for (const auto& entry : entries) {
        const auto data = write_bytes(out, entry.data);
        const bool names_members = entry.kind == entry_kind::configuration;
        const auto members = names_members ? write(out, entry.members) : 0;
        rows.push_back(frames::Createentry(out, entry.index.value, entry.term.value(),
                                           static_cast<std::uint8_t>(entry.kind), data, members));
    }
    return out.CreateVector(rows);
}

// Nothing if an entry is of no known kind.
std::optional<std::vector<log_entry>> read(const entry_vector* rows)
{
    std::vector<log_entry> entries;
    for (fb::uoffset_t i = 0; rows != nullptr && i < rows->size(); ++i) {
        const auto& row = *rows->Get(i);
        if (row.kind() > static_cast<std::uint8_t>(entry_kind::configuration)) {
            return std::nullopt;
        }
        entries.push_back({{row.index()},
                           term_number{row.term()},
                           static_cast<entry_kind>(row.kind()),
                           read_bytes(row.data()),
                           read(row.members())});
    }
    return entries;
}

frames::leader_stamp write(const leader_stamp& stamp)
{
    return {stamp.round, stamp.sent_at.time_since_epoch().count()};
}

leader_stamp read(const frames::leader_stamp& stamp)
{
    return {stamp.round(), time_point{duration{stamp.sent_at_ns()}}};
}

// Writes the message and tells its kind.
class message_writer {
public:
    explicit message_writer(builder& out) : out{&out} {}

    fb::Offset<void> operator()(const vote_request& m) const
    {
        return frames::Createvote_request(*this->out, m.term.value(), m.pre, m.last_index.value,
                                          m.last_term.value())
            .Union();
    }
    fb::Offset<void> operator()(const vote_answer& m) const
    {
        return frames::Createvote_answer(*this->out, m.term.value(), m.pre, m.granted).Union();
    }
    fb::Offset<void> operator()(const append_request& m) const
    {
        const auto entries = write(*this->out, m.entries);
        const auto stamp = write(m.stamp);
        return frames::Createappend_request(*this->out, m.term.value(), &stamp, m.previous.value,
                                            m.previous_term.value(), m.commit.value, entries)
            .Union();
    }
    fb::Offset<void> operator()(const append_answer& m) const
    {
        const auto stamp = write(m.stamp);
        return frames::Createappend_answer(*this->out, m.term.value(), &stamp, m.accepted,
                                           m.last.value)
            .Union();
    }
    fb::Offset<void> operator()(const snapshot_request& m) const
    {
        const auto members = write(*this->out, m.members);
        const auto data = write_bytes(*this->out, m.data);
        const auto stamp = write(m.stamp);
        return frames::Createsnapshot_request(*this->out, m.term.value(), &stamp, m.index.value,
                                              m.index_term.value(), members, m.total, m.offset,
                                              data)
            .Union();
    }
    fb::Offset<void> operator()(const snapshot_answer& m) const
    {
        const auto stamp = write(m.stamp);
        return frames::Createsnapshot_answer(*this->out, m.term.value(), &stamp, m.index.value,
                                             m.received)
            .Union();
    }
    fb::Offset<void> operator()(const join_request& m) const
    {
        const auto applicant = m.applicant ? write(*this->out, *m.applicant) : 0;
        const auto domain = m.domain.empty() ? 0 : this->out->CreateString(m.domain);
        return frames::Createjoin_request(*this->out, applicant, domain).Union();
    }

private:
    builder* out;
};

// The kinds of the wire in the order of the variant; both start after NONE.
frames::message kind_of(const message& body)
{
    return static_cast<frames::message>(body.index() + 1);
}

std::optional<message> read_append_request(const frames::append_request& m)
{
    auto entries = read(m.entries());
    if (!entries) {
        return std::nullopt;
    }
    return append_request{term_number{m.term()},          read(*m.stamp()), {m.previous()},
                          term_number{m.previous_term()}, {m.commit()},     std::move(*entries)};
}

message read_snapshot_request(const frames::snapshot_request& m)
{
    return snapshot_request{
        term_number{m.term()}, read(*m.stamp()), {m.index()}, term_number{m.index_term()},
        read(m.members()),     m.total(),        m.offset(),  read_bytes(m.data())};
}

std::optional<message> read_body(const frames::envelope& root)
{
    if (const auto* vote = root.body_as_vote_request()) {
        return vote_request{term_number{vote->term()},
                            vote->pre(),
                            {vote->last_index()},
                            term_number{vote->last_term()}};
    }
    if (const auto* voted = root.body_as_vote_answer()) {
        return vote_answer{term_number{voted->term()}, voted->pre(), voted->granted()};
    }
    if (const auto* append = root.body_as_append_request()) {
        return read_append_request(*append);
    }
    if (const auto* m = root.body_as_append_answer()) {
        return append_answer{term_number{m->term()}, read(*m->stamp()), m->accepted(), {m->last()}};
    }
    if (const auto* part = root.body_as_snapshot_request()) {
        return read_snapshot_request(*part);
    }
    if (const auto* m = root.body_as_snapshot_answer()) {
        return snapshot_answer{
            term_number{m->term()}, read(*m->stamp()), {m->index()}, m->received()};
    }
    if (const auto* joining = root.body_as_join_request()) {
        const auto* applicant = joining->applicant();
        return join_request{applicant == nullptr ? std::nullopt : std::optional{read(*applicant)},
                            joining->domain() == nullptr ? "" : joining->domain()->str()};
    }
    return std::nullopt;
}

} // namespace

std::string encode(const folder_identity& identity)
{
    builder out;
    const auto host = out.CreateString(identity.self.host);
    const auto founders = write(out, identity.founders);
    return finish(out, frames::Createidentity(out, host, identity.self.life.value(), founders));
}

std::string encode(const durable_batch& batch)
{
    builder out;
    fb::Offset<frames::hard_state> state;
    if (batch.state) {
        const auto vote = batch.state->vote ? write(out, *batch.state->vote) : 0;
        state = frames::Createhard_state(out, batch.state->term.value(), vote);
    }
    const auto entries = write(out, batch.entries);
    return finish(out, frames::Createbatch(out, state, entries));
}

std::string encode(const snapshot& taken)
{
    builder out;
    const auto members = write(out, taken.members);
    const auto data = write_bytes(out, taken.data);
    return finish(out, frames::Createsaved_snapshot(out, taken.index.value, taken.term.value(),
                                                    members, data));
}

std::string encode(const envelope& sent)
{
    builder out;
    const auto from = write(out, sent.from);
    const auto to = write(out, sent.to);
    const auto body = std::visit(message_writer{out}, sent.body);
    return finish(out, frames::Createenvelope(out, from, to, kind_of(sent.body), body));
}

std::optional<folder_identity> decode_identity(std::string_view bytes)
{
    const auto* root = verified<frames::identity>(bytes);
    if (root == nullptr) {
        return std::nullopt;
    }
    return folder_identity{{root->host()->str(), incarnation{root->life()}},
                           read(root->founders())};
}

std::optional<durable_batch> decode_batch(std::string_view bytes)
{
    const auto* root = verified<frames::batch>(bytes);
    if (root == nullptr) {
        return std::nullopt;
    }
    auto entries = read(root->entries());
    if (!entries) {
        return std::nullopt;
    }
    durable_batch batch{std::nullopt, std::move(*entries)};
    if (const auto* state = root->state()) {
        batch.state = hard_state{term_number{state->term()}, std::nullopt};
        if (state->vote() != nullptr) {
            batch.state->vote = read(*state->vote());
        }
    }
    return batch;
}

std::optional<snapshot> decode_snapshot(std::string_view bytes)
{
    const auto* root = verified<frames::saved_snapshot>(bytes);
    if (root == nullptr) {
        return std::nullopt;
    }
    return snapshot{{root->index()},
                    term_number{root->term()},
                    read(root->members()),
                    read_bytes(root->data())};
}

std::optional<envelope> decode_envelope(std::string_view bytes)
{
    const auto* root = verified<frames::envelope>(bytes);
    if (root == nullptr) {
        return std::nullopt;
    }
    auto body = read_body(*root);
    if (!body) {
        return std::nullopt;
    }
    return envelope{read(*root->from()), read(*root->to()), std::move(*body)};
}

} // namespace bth::consensus
