#include "bth/control/local_proposer.h"

#include <utility>

#include <log4cplus/loggingmacros.h>

namespace bth::control {

namespace {

// The book that the folder holds, a blank one if it holds none.
tl::expected<edit_book, std::string> read_book(const data_folder& folder, const std::string& path)
{
    const auto bytes = folder.read_snapshot();
    if (!bytes) {
        return tl::unexpected{bytes.error()};
    }
    if (!bytes->has_value()) {
        return edit_book{};
    }
    auto restored = edit_book::restore(**bytes);
    if (!restored) {
        return tl::unexpected{"can't use the data folder \"" + path + "\": " + restored.error()};
    }
    return restored;
}

} // namespace

tl::expected<local_proposer, std::string> local_proposer::open(std::string host,
                                                               const std::string& path)
{
    auto folder = data_folder::open(path);
    if (!folder) {
        return tl::unexpected{folder.error()};
    }
    auto book = read_book(*folder, path);
    if (!book) {
        return tl::unexpected{book.error()};
    }
    return local_proposer{std::move(host), std::move(*folder), std::move(*book)};
}

tl::expected<void, std::string> local_proposer::resume()
{
    if (!this->failure) {
        return {};
    }
    const auto stay_stopped = [this](std::string error) -> tl::expected<void, std::string> {
        this->failure->error = std::move(error);
        return tl::unexpected{this->failure->error};
    };
    auto held = read_book(this->folder, this->folder.name());
    if (!held) {
        return stay_stopped(held.error());
    }
    const auto bytes = held->snapshot();
    const bool holds_failed_edit = bytes == this->failure->next.snapshot();
    if (!holds_failed_edit && bytes != this->book.snapshot()) {
        return stay_stopped("the data folder \"" + this->folder.name() + "\" holds version " +
                            std::to_string(held->version().value()) +
                            ", which this process didn't save");
    }
    // What can be read may not be synced, so it is saved anew before it counts.
    if (auto saved = this->folder.replace_snapshot(bytes); !saved) {
        return stay_stopped(saved.error());
    }
    this->book = std::move(*held);
    this->failure.reset();
    LOG4CPLUS_INFO(this->log, "Saves edits again. The edit whose save failed "
                                  << (holds_failed_edit ? "is kept" : "is not kept") << ", version "
                                  << this->book.version().value() << ".");
    return {};
}

boost::asio::awaitable<tl::expected<applied_edit, proposal_failure>>
local_proposer::propose(edit one)
{
    const auto failed = [this](run_state accepted) {
        return tl::unexpected{proposal_failure{proposal_failure_reason::storage_failed, accepted,
                                               this->failure->error}};
    };
    if (!this->resume()) {
        const bool tried_before = this->failure->next.answered(one).has_value();
        co_return failed(tried_before ? run_state::unknown : run_state::no);
    }
    edit_book next = this->book;
    applied_edit out = next.apply(one);
    if (out.resend) {
        co_return out;
    }
    if (auto saved = this->folder.replace_snapshot(next.snapshot()); !saved) {
        LOG4CPLUS_ERROR(this->log,
                        "Can't save the edit " << one.id << ": " << saved.error() << ".");
        this->failure = failed_save{std::move(next), saved.error()};
        co_return failed(run_state::unknown);
    }
    this->book = std::move(next);
    co_return out;
}

boost::asio::awaitable<tl::expected<accepted_text, proposal_failure>> local_proposer::read()
{
    if (const auto resumed = this->resume(); !resumed) {
        co_return tl::unexpected{proposal_failure{proposal_failure_reason::storage_failed,
                                                  run_state::no, resumed.error()}};
    }
    co_return accepted_text{this->book.version(), this->book.text()};
}

control_status local_proposer::status() const
{
    control_status out;
    out.host = this->host;
    out.role = this->failure ? "stopped" : "leader";
    out.leader = this->failure ? "" : this->host;
    out.version = this->book.version();
    out.kept_ids = this->book.kept_ids();
    out.members.push_back({this->host, out.role, out.version});
    return out;
}

} // namespace bth::control
