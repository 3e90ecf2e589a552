// The acceptance path of a control host that decides alone: one edit_book, saved whole after each
// edit, before the answer goes out.
//
//   auto made = local_proposer::open("c1", "/var/lib/bth-control");
//   auto answer = co_await made->propose(one);
#pragma once

#include "bth/control/data_folder.h"
#include "bth/control/proposer.h"

#include <string>

#include <boost/asio/awaitable.hpp>
#include <tl/expected.hpp>

namespace bth::control {

class local_proposer {
public:
    // Reads the state in the data folder; an error is one sentence.
    static tl::expected<local_proposer, std::string> open(std::string host,
                                                          const std::string& path);

    // An edit whose decision can't be saved is answered "unknown", and so is every later one: the
    // disk may or may not hold it, which only a restart tells.
    boost::asio::awaitable<tl::expected<applied_edit, proposal_failure>> propose(edit one);
    boost::asio::awaitable<tl::expected<accepted_text, proposal_failure>> read();
    control_status status() const;
    accepted_text applied() const { return {this->book.version(), this->book.text()}; }

private:
    local_proposer(std::string host, data_folder folder, edit_book book)
        : host{std::move(host)}, folder{std::move(folder)}, book{std::move(book)}
    {}

    std::string host;
    data_folder folder;
    edit_book book;
    // The error of the save that failed; empty as long as none did.
    std::string save_error;
};

static_assert(proposer<local_proposer>);

} // namespace bth::control
