// What every program's main does: tells that it is ready, stops on a signal, and reports a failed
// start with one line.
//
//   return run_program("bth-platform", [&] { ... start; return 0; });
#pragma once

#include <functional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

namespace bth::shell {

// Exit codes that all programs share.
inline constexpr int exit_ok = 0;
inline constexpr int exit_failure = 1;
inline constexpr int exit_usage = 2;

// Prints "PROGRAM: MESSAGE" on standard error and returns exit_failure.
int fail_start(const std::string& program, const std::string& message);

// Prints the line "ready" on standard output, which tells whoever started the process that it
// listens.
void announce_ready();

// Calls `on_stop` once, on the first SIGTERM or SIGINT. Further ones are ignored for as long as
// this object exists, so it must live until the process has finished what it stops; the default
// action would end the process at once.
//
//   const stop_signal stop{context, [&] { server->stop(); }};
//   context.run();
class stop_signal {
public:
    stop_signal(boost::asio::io_context& context, std::function<void()> on_stop);

private:
    boost::asio::signal_set signals;
};

} // namespace bth::shell
