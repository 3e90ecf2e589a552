// A stand-in target: serves HTTP/1.1 with a number of slots and a service time, misbehaves as told,
// and counts every run by the last part of the request's path.
//
//   auto target = std::make_shared<target_server>(std::move(acceptor), settings);
//   target->start();
//
// Beside its work it answers GET /load (its load report), GET /runs (how often each request ran)
// and POST /behaviour (a new behaviour, as JSON).
#pragma once

#include "bth/standins/behaviour.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace bth::standins {

struct target_settings {
    std::string name;
    std::string service;
    std::uint32_t slots{1};
    std::chrono::microseconds service_time{1000};
    // The size of the body of an answer.
    std::uint64_t answer_bytes{};
    behaviour how;
};

// What a target has done since it started.
struct target_counts {
    std::uint64_t answered{};
    std::uint64_t shed{};
    std::uint64_t cancelled{};
    // Requests that came while all slots were in use.
    std::uint64_t over_slots{};
    std::uint32_t in_flight{};
    std::uint32_t most_in_flight{};
    std::uint32_t connections{};
    std::uint32_t most_connections{};
};

class target_server : public std::enable_shared_from_this<target_server> {
public:
    target_server(boost::asio::ip::tcp::acceptor acceptor, target_settings settings);

    void start();
    void stop();

private:
    friend class target_session;

    boost::asio::awaitable<void> accept_all();
    // How long the request that just began will take.
    std::chrono::microseconds time_of_next() const;
    std::string load_report();
    std::string run_report() const;

    boost::asio::ip::tcp::acceptor acceptor;
    target_settings settings;
    target_counts counts;
    std::map<std::string, std::uint32_t> runs;
};

} // namespace bth::standins
