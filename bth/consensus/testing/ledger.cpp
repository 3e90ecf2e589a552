#include "bth/consensus/testing/ledger.h"

#include <sstream>

namespace bth::consensus::testing {

std::string ledger_command(const std::string& id, std::size_t expected_version)
{
    return id + " " + std::to_string(expected_version);
}

std::string ledger::apply(const std::string& command)
{
    std::istringstream words{command};
    std::string id;
    std::size_t expected{};
    words >> id >> expected;
    const auto known = this->answers.find(id);
    if (known != this->answers.end()) {
        return known->second;
    }
    auto answer = id;
    if (expected == this->accepted.size()) {
        this->accepted.push_back(id);
        answer += " accepted as " + std::to_string(this->accepted.size());
    }
    else {
        answer += " refused at " + std::to_string(this->accepted.size());
    }
    this->answers.emplace(id, answer);
    return answer;
}

std::string ledger::snapshot() const
{
    std::ostringstream out;
    out << "ledger " << this->accepted.size() << "\n";
    for (const auto& id : this->accepted) {
        out << id << "\n";
    }
    for (const auto& [id, answer] : this->answers) {
        out << id << "\n" << answer << "\n";
    }
    return out.str();
}

bool ledger::restore(const std::string& bytes)
{
    std::istringstream in{bytes};
    std::string word;
    std::size_t count{};
    in >> word >> count >> std::ws;
    this->accepted.assign(count, {});
    for (auto& id : this->accepted) {
        std::getline(in, id);
    }
    this->answers.clear();
    std::string answer;
    while (std::getline(in, word) && std::getline(in, answer)) {
        this->answers.emplace(word, answer);
    }
    return bytes.starts_with("ledger ");
}

} // namespace bth::consensus::testing
