// Open-loop callers: requests begin at their own times, however slow the answers are. Each request
// asks a look-up (cached for its max-age) which entry host to use, sends the request from an
// address in its failure domain's client block, and checks that the answer is its own.
//
//   auto callers = std::make_shared<load_callers>(executor, model, plan);
//   callers->start([] { ... all done ... });
#pragma once

#include "bth/config/model.h"
#include "bth/standins/load_report.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace bth::standins {

// A caller class with its key and its weight in the mix.
struct class_share {
    std::string name;
    std::string key;
    double weight{1.0};
};

struct load_plan {
    double requests_per_second{100};
    std::chrono::milliseconds length{5000};
    std::chrono::milliseconds timeout{2000};
    std::uint64_t seed{1};
    // Part of the requests that are non-repeatable POSTs.
    double post_share{0.1};
    std::vector<class_share> classes;
    // Failure domains that callers come from; all if empty.
    std::vector<std::string> domains;
    // Services that are asked for; all if empty.
    std::vector<std::string> services;
    // Entry hosts that answer the first look-up; all of the text if empty.
    std::vector<endpoint> lookup_at;
};

class load_callers : public std::enable_shared_from_this<load_callers> {
public:
    load_callers(boost::asio::any_io_executor executor, const config::model& model, load_plan plan);

    // Starts the run; calls `on_end` once every request has ended.
    void start(std::function<void()> on_end);

    const load_tally& tally() const { return this->counted; }

private:
    struct call {
        std::uint64_t number{};
        domain_id home;
        service_id service;
        std::size_t class_index{};
        bool is_post{};
    };
    struct cached_lookup {
        std::vector<endpoint> hosts;
        time_point valid_until;
    };
    using connection = std::unique_ptr<boost::beast::tcp_stream>;

    boost::asio::awaitable<void> begin_all();
    boost::asio::awaitable<void> make_call(call what);
    boost::asio::awaitable<std::vector<endpoint>> hosts_for(const call& what);
    boost::asio::awaitable<bool> look_up(const call& what, endpoint at, cached_lookup& out);
    boost::asio::awaitable<call_record> exchange(const call& what, endpoint host);
    boost::asio::awaitable<connection> connect(const call& what, endpoint host);
    call draw_call();
    std::string check_of(const call& what) const;
    void end_one();

    boost::asio::any_io_executor executor;
    const config::model& model;
    load_plan plan;
    std::mt19937_64 random;
    std::vector<domain_id> domains;
    std::vector<service_id> services;
    std::map<std::pair<domain_id, service_id>, cached_lookup> lookups;
    std::map<std::pair<domain_id, endpoint>, std::vector<connection>> idle;
    load_tally counted;
    std::uint64_t begun{};
    std::uint64_t open{};
    bool all_begun{};
    std::function<void()> on_end;
};

} // namespace bth::standins
