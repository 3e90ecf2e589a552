#include "bth/fleet/agreed_state.h"

#include <utility>

namespace bth::fleet {

apply_result agreed_state_machine::apply(const std::string& command)
{
    const auto decoded = decode(command);
    if (!decoded) {
        return {};
    }
    apply_result answer;
    if (const auto* next = std::get_if<set_configuration>(&*decoded)) {
        answer = {true, this->apply_change(*next)};
    }
    else if (const auto* evacuation = std::get_if<set_evacuation>(&*decoded)) {
        answer = {true, this->apply_change(*evacuation)};
    }
    if (answer.changed) {
        this->current.index = agreed_index{this->current.index.value() + 1};
    }
    return answer;
}

bool agreed_state_machine::restore(const std::string& bytes)
{
    auto decoded = decode(bytes);
    auto* state = decoded ? std::get_if<agreed_state>(&*decoded) : nullptr;
    if (state == nullptr) {
        return false;
    }
    this->current = std::move(*state);
    return true;
}

bool agreed_state_machine::apply_change(const set_configuration& next)
{
    if (next.version <= this->current.version) {
        return false;
    }
    this->current.version = next.version;
    this->current.text = next.text;
    return true;
}

bool agreed_state_machine::apply_change(const set_evacuation& next)
{
    if (next.evacuated) {
        return this->current.evacuated.insert(next.domain).second;
    }
    return this->current.evacuated.erase(next.domain) > 0;
}

} // namespace bth::fleet
