#include "bth/fleet/agreed_state.h"

#include <utility>

namespace bth::fleet {

agreed_answer agreed_machine::apply(const std::string& command)
{
    const auto decoded = decode(command);
    if (!decoded) {
        return {};
    }
    agreed_answer answer;
    if (const auto* next = std::get_if<set_configuration>(&*decoded)) {
        answer = {true, this->take(*next)};
    }
    else if (const auto* order = std::get_if<set_evacuation>(&*decoded)) {
        answer = {true, this->take(*order)};
    }
    if (answer.changed) {
        this->now_holds.index = agreed_index{this->now_holds.index.value() + 1};
    }
    return answer;
}

bool agreed_machine::restore(const std::string& bytes)
{
    auto decoded = decode(bytes);
    auto* contents = decoded ? std::get_if<agreed_contents>(&*decoded) : nullptr;
    if (contents == nullptr) {
        return false;
    }
    this->now_holds = std::move(*contents);
    return true;
}

bool agreed_machine::take(const set_configuration& next)
{
    if (next.version <= this->now_holds.version) {
        return false;
    }
    this->now_holds.version = next.version;
    this->now_holds.text = next.text;
    return true;
}

bool agreed_machine::take(const set_evacuation& next)
{
    if (next.evacuated) {
        return this->now_holds.evacuated.insert(next.domain).second;
    }
    return this->now_holds.evacuated.erase(next.domain) > 0;
}

} // namespace bth::fleet
