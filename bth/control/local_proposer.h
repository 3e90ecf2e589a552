// The acceptance path of a control host that decides alone: one edit_book, saved whole after each
// edit, before the answer goes out.
//
//   auto made = local_proposer::open("c1", "/var/lib/bth-control");
//   auto answer = co_await made->propose(one);
#pragma once

#include "bth/control/data_folder.h"
#include "bth/control/proposer.h"

#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <log4cplus/logger.h>
#include <tl/expected.hpp>

namespace bth::control {

class local_proposer {
public:
    // Reads the state in the data folder; an error is one sentence.
    static tl::expected<local_proposer, std::string> open(std::string host,
                                                          const std::string& path);

    // An edit whose decision can't be saved is answered "unknown": the disk may or may not hold it.
    // Until resume() succeeds, which each call tries first, it is answered so again, and edits that
    // were never tried are refused.
    boost::asio::awaitable<tl::expected<applied_edit, proposal_failure>> propose(edit one);
    boost::asio::awaitable<tl::expected<accepted_text, proposal_failure>> read();
    // After a failed save: finds out whether the disk holds that edit, and goes on with what it
    // holds, saved anew. An error is one sentence. Without a failed save it does nothing.
    tl::expected<void, std::string> resume();
    // The role is "stopped" from a failed save until resume() succeeds.
    control_status status() const;
    accepted_text applied() const { return {this->book.version(), this->book.text()}; }

private:
    // A save that failed: the disk holds the book in force, or this one.
    struct failed_save {
        edit_book next;
        std::string error;
    };

    local_proposer(std::string host, data_folder folder, edit_book book)
        : host{std::move(host)}, folder{std::move(folder)}, book{std::move(book)}
    {}

    std::string host;
    data_folder folder;
    edit_book book;
    std::optional<failed_save> failure;
    log4cplus::Logger log{log4cplus::Logger::getInstance("control")};
};

static_assert(proposer<local_proposer>);

} // namespace bth::control
