#include "bth/consensus/testing/full_disks.h"

#include "bth/consensus/testing/fake_group.h"

#include <algorithm>
#include <map>
#include <optional>

#include <boost/random/uniform_int_distribution.hpp>

namespace bth::consensus::testing {

namespace {

using namespace std::chrono_literals;

constexpr duration settling = 3s;
// Within this time after the last disk has room, an edit is answered and all members are equal:
// an attempt to resume, the silence before votes, an election, and a second one that splits.
constexpr duration recovery = 6s;
// The longest time until an edit is answered, its repetitions counted in.
constexpr duration longest_wait = 4s;
constexpr duration patience = 1s;
// A process that ends is started again after this time.
constexpr duration restart_delay = 500ms;
constexpr duration retry_delay = 100ms;
constexpr duration redirect_delay = 20ms;
constexpr duration poll_interval = 20ms;
constexpr int operators = 2;

// Which disk fills next.
enum class disk_order : std::uint8_t { in_turn, leader_first, leader_each_time, any };

// A lost leader is replaced within a second.
replica_options fast_options()
{
    replica_options out;
    out.heartbeat = 200ms;
    out.vote_silence = 500ms;
    out.election_least = 600ms;
    out.election_spread = 250ms;
    out.retry_least = 100ms;
    out.retry_spread = 200ms;
    return out;
}

class full_disks {
public:
    explicit full_disks(std::uint64_t seed) : group{seed, 3 + seed % 4, fast_options()} {}

    full_disks_outcome run()
    {
        this->choose();
        this->group.run(settling);
        for (int i = 0; i < operators; ++i) {
            this->edit(i);
        }
        this->supervise();
        const auto rounds = 1 + this->up_to(2);
        for (std::size_t round = 0; round < rounds; ++round) {
            this->fill_each();
        }
        this->check_recovery();
        this->outcome.violations = this->group.violations();
        this->outcome.accepted = this->group.history().size();
        return this->outcome;
    }

private:
    // Draws what is the same all the time.
    void choose()
    {
        this->group.resumes_after_failure = true;
        this->group.log_bytes = this->up_to(1) == 0 ? 300 : 4000;
        this->order = static_cast<disk_order>(this->up_to(3));
        this->longest_gap = this->up_to(1) == 0 ? 0ms : 1000ms;
        this->longest_edit_pause = this->up_to(1) == 0 ? 50ms : 800ms;
        // Equal spans of about the time that an election takes meet each new leader.
        this->least_span = this->any_time(1s, 2s);
        this->longest_span = this->up_to(1) == 0 ? this->least_span : 6s;
        this->kills = this->up_to(2) == 0;
    }

    std::size_t up_to(std::size_t most)
    {
        return boost::random::uniform_int_distribution<std::size_t>{0, most}(this->group.generator);
    }
    std::size_t any_host() { return this->up_to(this->group.size() - 1); }
    duration any_time(duration least, duration most)
    {
        const auto spread = static_cast<std::size_t>((most - least).count());
        return least + duration{this->up_to(spread)};
    }

    // Starts processes that have ended, which fails while their disk is full and they must cut a
    // torn tail.
    void supervise()
    {
        this->group.after(restart_delay, [this] { this->supervise(); });
        for (std::size_t host = 0; host < this->group.size(); ++host) {
            this->group.restart(host);
        }
    }

    std::size_t next_host(std::vector<std::size_t>& left)
    {
        const auto leader = this->group.leader();
        const bool wants_leader =
            this->order == disk_order::leader_each_time ||
            (this->order == disk_order::leader_first && left.size() == this->group.size());
        if (wants_leader && leader) {
            std::erase(left, *leader);
            return *leader;
        }
        const auto row = this->order == disk_order::any ? this->up_to(left.size() - 1) : 0;
        const auto host = left.at(row);
        std::erase(left, host);
        return host;
    }

    // With leader_each_time one host may be chosen more than once.
    void fill_each()
    {
        std::vector<std::size_t> left;
        for (std::size_t host = 0; host < this->group.size(); ++host) {
            left.push_back(host);
        }
        for (std::size_t i = 0; i < this->group.size() && !left.empty(); ++i) {
            this->fill(this->next_host(left));
            this->group.run(this->any_time(0ms, this->longest_gap));
        }
    }

    void fill(std::size_t host)
    {
        // The first write that fails may be any of a record, its sync, or of the steps of a new
        // snapshot.
        this->group.fail_disk_after(host, this->up_to(8));
        const auto span = this->any_time(this->least_span, this->longest_span);
        const bool killed = this->kills && this->up_to(1) == 0;
        const auto before = killed ? this->any_time(100ms, span) : span;
        this->group.run(before);
        if (killed) {
            ++this->outcome.kills;
            this->group.kill(host);
            this->group.fail_disk_after(host, 0);
            this->group.run(span - before);
        }
        if (this->group.running(host) && this->group.at(host).failure()) {
            ++this->outcome.stops;
        }
        this->group.repair_disk(host);
    }

    // An operator submits, and sends again with the same id until it knows the answer.
    void edit(int who)
    {
        this->begun[who] = this->group.now();
        const auto number = std::to_string(this->next_edit++);
        this->submit(who, "edit-" + number + "-" + std::to_string(who),
                     this->group.history().size(), this->any_host());
    }

    void submit(int who, const std::string& id, std::size_t expected, std::size_t host)
    {
        const auto attempt = ++this->attempts[who];
        const auto again_after = [=, this](duration delay, std::optional<std::size_t> next) {
            this->group.after(delay, [=, this] {
                if (this->attempts[who] == attempt) {
                    this->submit(who, id, expected, next.value_or(this->any_host()));
                }
            });
        };
        if (!this->group.running(host) || this->group.at(host).failure()) {
            // Refused at once.
            again_after(retry_delay, std::nullopt);
            return;
        }
        this->group.submit(host, id, expected, [=, this](const test_result& result) {
            if (this->attempts[who] != attempt) {
                return;
            }
            if (!result.applied) {
                const auto& leader = result.answer.leader;
                again_after(leader ? redirect_delay : retry_delay,
                            leader ? this->group.index_of(leader->host) : std::nullopt);
                return;
            }
            ++this->attempts[who];
            this->outcome.slowest =
                std::max(this->outcome.slowest, this->group.now() - this->begun[who]);
            this->last_answers[who] = this->group.now();
            this->answers.emplace(id, *result.applied);
            this->group.after(this->any_time(5ms, this->longest_edit_pause),
                              [=, this] { this->edit(who); });
        });
        again_after(patience, std::nullopt);
    }

    bool is_equal(std::size_t host, std::size_t edits) const
    {
        return this->group.running(host) && !this->group.at(host).failure() &&
               this->group.status(host).caught_up &&
               this->group.at(host).state().accepted.size() >= edits;
    }

    bool all_answered_after(time_point since) const
    {
        return this->last_answers.size() == operators &&
               std::all_of(this->last_answers.begin(), this->last_answers.end(),
                           [since](const auto& each) { return each.second > since; });
    }

    void check_recovery()
    {
        const auto freed = this->group.now();
        const auto edits = this->group.history().size();
        std::optional<duration> answered;
        std::optional<duration> equal;
        while (this->group.now() - freed < recovery && (!answered || !equal)) {
            this->group.run(poll_interval);
            if (!answered && this->all_answered_after(freed)) {
                answered = this->group.now() - freed;
            }
            bool all_equal = true;
            for (std::size_t host = 0; host < this->group.size(); ++host) {
                all_equal = all_equal && this->is_equal(host, edits);
            }
            if (!equal && all_equal) {
                equal = this->group.now() - freed;
            }
        }
        if (!answered) {
            this->group.violation("an operator gets no answer though all disks have room");
        }
        if (!equal) {
            this->group.violation("a member lacks edits though all disks have room");
        }
        this->outcome.until_answer = answered.value_or(recovery);
        this->outcome.until_equal = equal.value_or(recovery);
        this->check_waits();
        this->check_nothing_is_lost();
    }

    // Without kills a majority is always up, so that a lost leader is replaced.
    void check_waits()
    {
        if (!this->kills && this->outcome.slowest > longest_wait) {
            this->group.violation("an edit waits too long though one disk is full at a time");
        }
    }

    void check_nothing_is_lost()
    {
        const auto& history = this->group.history();
        for (const auto& [id, answer] : this->answers) {
            const bool was_accepted = answer.find("accepted as ") != std::string::npos;
            if (was_accepted && std::find(history.begin(), history.end(), id) == history.end()) {
                this->group.violation(id + " was accepted and is lost");
            }
        }
    }

    fake_group group;
    full_disks_outcome outcome;
    disk_order order{};
    duration least_span{};
    duration longest_span{};
    duration longest_gap{};
    duration longest_edit_pause{};
    bool kills{};
    int next_edit{1};
    // When each operator first sent its edit.
    std::map<int, time_point> begun;
    std::map<int, int> attempts;
    std::map<std::string, std::string> answers;
    // When each operator last got an answer.
    std::map<int, time_point> last_answers;
};

} // namespace

full_disks_outcome run_full_disks(std::uint64_t seed)
{
    return full_disks{seed}.run();
}

} // namespace bth::consensus::testing
