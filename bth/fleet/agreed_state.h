// The state that the control hosts agree on in highest-version mode: the configuration with the
// highest version, and the failure domains that are evacuated.
//
//   agreed_machine machine;
//   machine.apply(encode(set_configuration{version, text}));
//   machine.contents().text;
#pragma once

#include "bth/fleet/messages.h"

#include <cstdint>
#include <string>

namespace bth::fleet {

// What a command did.
struct agreed_answer {
    // Whether it was understood.
    bool understood{};
    // Whether it changed the state; an older configuration, or one sent again, doesn't.
    bool changed{};
};

// A state machine for bth/consensus/member.h.
class agreed_machine {
public:
    using answer = agreed_answer;

    agreed_answer apply(const std::string& command);
    std::string snapshot() const { return encode(this->now_holds); }
    bool restore(const std::string& bytes);

    const agreed_contents& contents() const { return this->now_holds; }

private:
    bool take(const set_configuration& next);
    bool take(const set_evacuation& next);

    agreed_contents now_holds;
};

} // namespace bth::fleet
