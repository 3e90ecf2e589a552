// The state that the control hosts agree on in highest-version mode: the configuration with the
// highest version, and the set of evacuated failure domains.
//
//   agreed_state_machine machine;
//   machine.apply(encode(set_configuration{version, text}));
//   machine.state().text;
#pragma once

#include "bth/fleet/messages.h"

#include <cstdint>
#include <string>

namespace bth::fleet {

// The effect of a command.
struct apply_result {
    // Whether the command could be decoded.
    bool valid{};
    // Whether the command changed the state. An older or repeated configuration doesn't.
    bool changed{};
};

// The state machine that bth/consensus/member.h replicates. Equal sequences of commands give equal
// states on every control host.
class agreed_state_machine {
public:
    using answer = apply_result;

    apply_result apply(const std::string& command);
    std::string snapshot() const { return encode(this->current); }
    // Replaces the state by a snapshot. Returns false, and changes nothing, if `bytes` isn't one.
    bool restore(const std::string& bytes);

    const agreed_state& state() const { return this->current; }

private:
    // Each returns whether the state changed.
    bool apply_change(const set_configuration& next);
    bool apply_change(const set_evacuation& next);

    agreed_state current;
};

} // namespace bth::fleet
