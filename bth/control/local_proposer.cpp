#include "bth/control/local_proposer.h"

#include <utility>

namespace bth::control {

tl::expected<local_proposer, std::string> local_proposer::open(std::string host,
                                                               const std::string& path)
{
    auto folder = data_folder::open(path);
    if (!folder) {
        return tl::unexpected{folder.error()};
    }
    const auto bytes = folder->read_snapshot();
    if (!bytes) {
        return tl::unexpected{bytes.error()};
    }
    edit_book book;
    if (bytes->has_value()) {
        auto restored = edit_book::restore(**bytes);
        if (!restored) {
            return tl::unexpected{"can't use the data folder \"" + path +
                                  "\": " + restored.error()};
        }
        book = std::move(*restored);
    }
    return local_proposer{std::move(host), std::move(*folder), std::move(book)};
}

boost::asio::awaitable<tl::expected<applied_edit, proposal_failure>>
local_proposer::propose(edit one)
{
    const auto failure = [this]() {
        return tl::unexpected{proposal_failure{proposal_failure_reason::storage_failed,
                                               run_state::unknown, this->save_error}};
    };
    if (!this->save_error.empty()) {
        co_return failure();
    }
    edit_book next = this->book;
    applied_edit out = next.apply(one);
    if (out.resend) {
        co_return out;
    }
    if (auto saved = this->folder.replace_snapshot(next.snapshot()); !saved) {
        this->save_error = saved.error();
        co_return failure();
    }
    this->book = std::move(next);
    co_return out;
}

boost::asio::awaitable<tl::expected<accepted_text, proposal_failure>> local_proposer::read()
{
    if (!this->save_error.empty()) {
        co_return tl::unexpected{proposal_failure{proposal_failure_reason::storage_failed,
                                                  run_state::no, this->save_error}};
    }
    co_return accepted_text{this->book.version(), this->book.text()};
}

control_status local_proposer::status() const
{
    control_status out;
    out.host = this->host;
    out.role = "leader";
    out.leader = this->host;
    out.version = this->book.version();
    out.kept_ids = this->book.kept_ids();
    out.members.push_back({this->host, out.role, out.version});
    return out;
}

} // namespace bth::control
