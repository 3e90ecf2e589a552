#include "bth/consensus/testing/schedule.h"

#include "bth/consensus/testing/fake_group.h"

#include <boost/random/uniform_int_distribution.hpp>

namespace bth::consensus::testing {

namespace {

using namespace std::chrono_literals;

constexpr duration trouble = 20s;
constexpr duration recovery = 15s;
constexpr duration patience = 1500ms;
constexpr int operators = 2;

class schedule {
public:
    explicit schedule(std::uint64_t seed) : group{seed, seed % 2 == 0 ? 3U : 5U}
    {
        this->group.resumes_after_failure = seed % 3 == 0;
    }

    schedule_outcome run()
    {
        this->group.conduct = {500us, 30ms, 20, 30, 10, 3s};
        this->group.run(2s);
        this->fault();
        for (int i = 0; i < operators; ++i) {
            this->edit(i);
        }
        this->group.run(trouble);
        this->troubled = false;
        this->group.heal();
        this->group.run(recovery);
        this->check_end();
        this->outcome.violations = this->group.violations();
        this->outcome.accepted = this->group.history().size();
        return this->outcome;
    }

private:
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

    void fault()
    {
        if (!this->troubled) {
            return;
        }
        this->one_fault(this->any_host());
        this->group.after(this->any_time(50ms, 1200ms), [this] { this->fault(); });
    }

    void one_fault(std::size_t host)
    {
        switch (this->up_to(7)) {
        case 0:
        case 1:
            this->kill(host);
            break;
        case 2:
            this->group.freeze(host);
            this->group.after(this->any_time(100ms, 3s), [=, this] { this->group.thaw(host); });
            break;
        case 3:
        case 4:
            if (this->group.can_lose_disk(host)) {
                ++this->outcome.disks_lost;
                this->group.lose_disk(host);
                this->restart_soon(host);
            }
            break;
        case 5:
            this->cut(host, this->any_host());
            break;
        case 6:
            this->group.fail_disk_after(host, this->up_to(8));
            this->group.after(500ms, [=, this] { this->end_disk_failure(host); });
            break;
        default:
            this->change_members(host);
        }
    }

    void end_disk_failure(std::size_t host)
    {
        if (this->group.resumes_after_failure) {
            this->group.after(this->any_time(0ms, 3s),
                              [=, this] { this->group.repair_disk(host); });
        }
        else {
            this->kill(host);
        }
    }

    void kill(std::size_t host)
    {
        ++this->outcome.kills;
        if (this->up_to(1) == 0) {
            this->group.kill(host);
        }
        else {
            this->group.power_off(host);
        }
        this->restart_soon(host);
    }

    void restart_soon(std::size_t host)
    {
        this->group.after(this->any_time(20ms, 2500ms), [=, this] { this->group.restart(host); });
    }

    // One way, or from and to everyone.
    void cut(std::size_t host, std::size_t other)
    {
        const bool isolated = this->up_to(2) == 0;
        for (std::size_t i = 0; i < this->group.size(); ++i) {
            if (i == host || (!isolated && i != other)) {
                continue;
            }
            this->group.cut(host, i, true);
            this->group.cut(i, host, isolated);
        }
        this->group.after(this->any_time(200ms, 4s), [=, this] {
            for (std::size_t i = 0; i < this->group.size(); ++i) {
                this->group.cut(host, i, false);
                this->group.cut(i, host, false);
            }
        });
    }

    void change_members(std::size_t subject)
    {
        const auto leader = this->group.leader();
        if (!leader) {
            return;
        }
        const auto members = this->group.status(*leader).members;
        const bool add = this->up_to(1) == 0;
        const bool spare = members.voters.size() > 3 && this->group.can_remove(subject, members);
        if (add || spare) {
            this->group.change(*leader, subject, add, [](const auto&) {});
        }
    }

    // An operator submits, and sends again with the same id until it knows the answer.
    void edit(int who)
    {
        if (!this->troubled) {
            return;
        }
        const auto number = std::to_string(this->next_edit++);
        const auto id = "edit-" + number + "-" + std::to_string(who);
        this->submit(who, id, this->group.history().size(), this->any_host());
    }

    void submit(int who, const std::string& id, std::size_t expected, std::size_t host)
    {
        const auto attempt = ++this->attempts[who];
        this->group.submit(host, id, expected, [=, this](const test_result& result) {
            if (result.applied) {
                this->answered(who, id, expected, *result.applied);
            }
            else if (this->attempts[who] == attempt && result.answer.leader) {
                const auto leader = this->group.index_of(result.answer.leader->host);
                this->group.after(20ms, [=, this] { this->submit(who, id, expected, *leader); });
            }
        });
        this->group.after(patience, [=, this] {
            if (this->attempts[who] == attempt) {
                this->submit(who, id, expected, this->any_host());
            }
        });
    }

    void answered(int who, const std::string& id, std::size_t expected, const std::string& answer)
    {
        const auto [first, added] = this->answers.emplace(id, answer);
        if (first->second != answer) {
            this->group.violation(id + " got two answers: " + first->second + "; " + answer);
        }
        if (!added) {
            return;
        }
        ++this->attempts[who];
        // The answer may be lost on the way, so that the operator sends again.
        if (this->up_to(3) == 0) {
            this->group.after(300ms, [=, this] {
                this->group.submit(this->any_host(), id, expected, [=, this](const auto& again) {
                    if (again.applied) {
                        this->answered(who, id, expected, *again.applied);
                    }
                });
            });
        }
        this->read(this->any_host());
        this->group.after(this->any_time(10ms, 400ms), [=, this] { this->edit(who); });
    }

    // A read sees everything that was accepted before it began.
    void read(std::size_t host)
    {
        const auto seen = this->group.history().size();
        this->group.read(host, [=, this](const test_result& result) {
            const bool ready =
                !result.applied && result.answer.outcome == request_outcome::read_ready;
            if (ready && this->group.running(host) &&
                this->group.at(host).state().accepted.size() < seen) {
                this->group.violation("a read misses an accepted edit");
            }
        });
    }

    // With all faults over, the group works again and nothing that was accepted is gone.
    void check_end()
    {
        const auto leader = this->group.leader();
        if (!leader) {
            this->group.violation("no leader in the end");
            return;
        }
        bool done = false;
        this->group.submit(*leader, "last", this->group.history().size(),
                           [&](const auto& result) { done = result.applied.has_value(); });
        this->group.run(2s);
        if (!done) {
            this->group.violation("no edit is decided in the end");
        }
        const auto& last = this->group.at(*leader).state().accepted;
        if (last != this->group.history()) {
            this->group.violation("the leader's history isn't the whole history in the end");
        }
        for (const auto& [id, answer] : this->answers) {
            const auto accepted = answer.find("accepted as ");
            const bool lost = accepted != std::string::npos &&
                              std::find(last.begin(), last.end(), id) == last.end();
            if (lost) {
                this->group.violation(id + " was accepted and is lost");
            }
        }
    }

    fake_group group;
    schedule_outcome outcome;
    bool troubled{true};
    int next_edit{1};
    std::map<int, int> attempts;
    std::map<std::string, std::string> answers;
};

} // namespace

schedule_outcome run_schedule(std::uint64_t seed)
{
    return schedule{seed}.run();
}

} // namespace bth::consensus::testing
