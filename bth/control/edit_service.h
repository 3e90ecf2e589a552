// The HTTP interface of bth-control for operators, over any acceptance path:
//   POST /edits     decides an edit (bth/control/edit_request.h)
//   GET  /text      the accepted text, with its version in the header Bth-Version
//   GET  /status    what this host knows, as JSON; GET / shows it as a page
//   GET  /metrics   counters in the text format of Prometheus
//   POST /members   {"action": "add" or "remove", "host": NAME} changes the control hosts
//
// Where the acceptance path is replicated, a host that doesn't lead passes edits, reads and changes
// of members on to the leader, once.
//
//   auto service = std::make_shared<edit_service<local_proposer>>(proposer, 10'000);
//   auto server = std::make_shared<http_server>(std::move(acceptor), service->handler());
#pragma once

#include "bth/control/edit_request.h"
#include "bth/control/metrics.h"
#include "bth/control/proposer.h"
#include "bth/control/status_page.h"
#include "bth/shell/simple_http.h"

#include <concepts>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace bth::control {

// The answers that don't depend on the acceptance path.
shell::http_response answer_response(const shell::http_request& request, const edit_answer& answer);
shell::http_response failure_response(const shell::http_request& request,
                                      const std::string& edit_id, const proposal_failure& failure);
shell::http_response bad_edit_response(const shell::http_request& request, const findings& found);
shell::http_response text_response(const shell::http_request& request, const accepted_text& text);
shell::http_response unknown_path_response(const shell::http_request& request);

// The path of a request without its query.
std::string path_of(const shell::http_request& request);

// Marks a request that another control host has passed on.
inline constexpr const char* forwarded_header = "Bth-Forwarded";

// The leader's answer to the request, or an error sentence.
boost::asio::awaitable<tl::expected<shell::http_response, std::string>>
forward_request(shell::http_request request, endpoint leader);

// A change of members as operators ask for it.
struct member_change {
    std::string host;
    bool add{};
};
std::optional<member_change> read_member_change(const std::string& body);

// An acceptance path of several hosts.
template <class Proposer>
concept replicated = requires(Proposer& in, const Proposer& known, std::string host)
{
    {
        known.leader_http()
        } -> std::same_as<std::optional<endpoint>>;
    in.change_member(host, true);
};

template <proposer Proposer>
class edit_service : public std::enable_shared_from_this<edit_service<Proposer>> {
public:
    // Adds to a status what the acceptance path doesn't know.
    using status_completion = std::function<void(control_status&)>;

    // `decider` outlives the service. Edits that come in here carry `ids_kept`.
    edit_service(Proposer& decider, std::uint32_t ids_kept, status_completion complete = {})
        : decider{&decider}, ids_kept{ids_kept}, complete{std::move(complete)}
    {}

    // A handler that keeps the service alive.
    shell::http_handler handler()
    {
        return [self = this->shared_from_this()](shell::http_request request) {
            return self->handle(std::move(request));
        };
    }

private:
    using response = boost::asio::awaitable<shell::http_response>;

    response handle(shell::http_request request)
    {
        using boost::beast::http::verb;
        const std::string path = path_of(request);
        if constexpr (replicated<Proposer>) {
            const bool decided_by_leader =
                path == "/edits" || path == "/text" || path == "/members";
            const auto leader = this->decider->leader_http();
            if (decided_by_leader && leader && request[forwarded_header].empty()) {
                return this->forward(std::move(request), *leader);
            }
            if (request.method() == verb::post && path == "/members") {
                return this->change_member(std::move(request));
            }
        }
        if (request.method() == verb::post && path == "/edits") {
            return this->decide(std::move(request));
        }
        if (request.method() == verb::get && path == "/text") {
            return this->text(std::move(request));
        }
        return this->page(std::move(request));
    }

    // The pages that this host answers by itself.
    response page(shell::http_request request)
    {
        using boost::beast::http::status;
        const std::string path =
            request.method() == boost::beast::http::verb::get ? path_of(request) : "";
        if (path == "/status") {
            co_return shell::make_response(request, status::ok, "application/json",
                                           status_json(this->status()));
        }
        if (path == "/") {
            co_return shell::make_response(request, status::ok, "text/html",
                                           status_html(this->status()));
        }
        if (path == "/metrics") {
            this->metrics.show(this->status());
            co_return shell::make_response(request, status::ok, "text/plain; version=0.0.4",
                                           this->metrics.text());
        }
        co_return unknown_path_response(request);
    }

    control_status status() const
    {
        control_status known = this->decider->status();
        if (this->complete) {
            this->complete(known);
        }
        return known;
    }

    response decide(shell::http_request request)
    {
        auto one = read_edit_request(std::move(request.body()), this->ids_kept);
        if (!one) {
            this->metrics.count_bad_request();
            co_return bad_edit_response(request, one.error());
        }
        const std::string id = one->id;
        const auto decided = co_await this->decider->propose(std::move(*one));
        if (!decided) {
            this->metrics.count(decided.error());
            co_return failure_response(request, id, decided.error());
        }
        this->metrics.count(*decided);
        co_return answer_response(request, decided->answer);
    }

    response forward(shell::http_request request, endpoint leader)
    {
        auto answer = co_await forward_request(request, leader);
        if (answer) {
            co_return std::move(*answer);
        }
        const bool get = request.method() == boost::beast::http::verb::get;
        const proposal_failure failure{proposal_failure_reason::no_leader,
                                       get ? run_state::no : run_state::unknown,
                                       "the leader gave no answer: " + answer.error()};
        this->metrics.count(failure);
        co_return failure_response(request, "", failure);
    }

    response change_member(shell::http_request request)
    {
        const auto change = read_member_change(request.body());
        if (!change) {
            co_return shell::make_response(request, boost::beast::http::status::bad_request,
                                           "text/plain", "expected an action and a host\n");
        }
        const auto done = co_await this->decider->change_member(change->host, change->add);
        if (!done) {
            co_return failure_response(request, "", done.error());
        }
        co_return shell::make_response(request, boost::beast::http::status::ok, "text/plain",
                                       change->add ? "added as learner\n" : "removed\n");
    }

    response text(shell::http_request request)
    {
        const auto read = co_await this->decider->read();
        if (!read) {
            co_return failure_response(request, "", read.error());
        }
        co_return text_response(request, *read);
    }

    Proposer* decider;
    std::uint32_t ids_kept;
    status_completion complete;
    control_metrics metrics;
};

} // namespace bth::control
