// The acceptance path of a control host that is one of several: the edit book behind the agreed
// log, whose messages go over the peer link.
//
//   auto made = replicated_proposer::open(context, settings, false);
//   if (!made) { std::cerr << made.error(); }
//   (*made)->start(link);
//   auto answer = co_await (*made)->propose(one);
#pragma once

#include "bth/consensus/member.h"
#include "bth/control/book_machine.h"
#include "bth/control/proposer.h"
#include "bth/control/settings.h"
#include "bth/shell/peer_link.h"
#include "bth/storage/posix_disk.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <log4cplus/logger.h>
#include <tl/expected.hpp>

namespace bth::control {

class replicated_proposer : public std::enable_shared_from_this<replicated_proposer> {
public:
    // Opens the data folder. `found` makes a blank folder that of a founder of the group that the
    // settings name; without it a blank folder belongs to a newcomer, which has to be let in. An
    // error is one sentence.
    static tl::expected<std::shared_ptr<replicated_proposer>, std::string>
    open(boost::asio::io_context& context, const control_settings& settings, bool found);

    // Takes the consensus frames of the link, whose peers the caller sets.
    void start(std::shared_ptr<shell::peer_link> link);
    void stop();

    boost::asio::awaitable<tl::expected<applied_edit, proposal_failure>> propose(edit one);
    boost::asio::awaitable<tl::expected<accepted_text, proposal_failure>> read();

    // Lets in the newcomer on a host, or takes a host out. Returns once the change is committed.
    boost::asio::awaitable<tl::expected<void, proposal_failure>> change_member(std::string host,
                                                                               bool add);

    control_status status() const;
    // What this host has applied; another may be ahead.
    accepted_text applied() const;
    // Where the leader takes requests, if it is another host.
    std::optional<endpoint> leader_http() const;

private:
    using group_member = consensus::member<storage::posix_disk, book_machine>;
    using outcome = group_member::result;
    using request_action = std::function<void(consensus::request_token)>;

    // A request that waits for its result.
    struct waiter {
        explicit waiter(boost::asio::io_context& context) : timer{context} {}

        boost::asio::steady_timer timer;
        std::optional<outcome> result;
    };

    replicated_proposer(boost::asio::io_context& context, control_settings settings,
                        group_member member);

    boost::asio::awaitable<tl::expected<outcome, proposal_failure>> request(request_action take);
    bool receive(const shell::peer_identity& from, wire::byte_view payload);
    void tick();
    // Sends and answers what the member has put out.
    void flush();
    // Logs that the member stopped or takes part again, and ends the waits for a stopped one.
    void report_failure();
    void report_changes(const consensus::replica_status& now_is);
    proposal_failure failure_of(const consensus::request_answer& answer) const;
    proposal_failure disk_failure(run_state accepted) const;
    member_status status_of(const consensus::member_id& id,
                            const consensus::replica_status& known) const;

    boost::asio::io_context* context;
    control_settings settings;
    group_member member;
    std::shared_ptr<shell::peer_link> link;
    boost::asio::steady_timer timer;
    log4cplus::Logger log;
    std::map<consensus::request_token, std::shared_ptr<waiter>> waiting;
    std::uint64_t next_token{1};
    std::string last_role;
    bool failure_reported{};
    // While the member is stopped: when to try to resume it.
    time_point resume_due;
    bool stopping{};
};

} // namespace bth::control
