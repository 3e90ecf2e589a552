#include "bth/control/book_machine.h"

#include "bth/control/edit_answers.h"
#include "bth/control/edit_codec.h"

#include <cstdint>
#include <utility>
#include <vector>

namespace bth::control {

std::string command_of(const edit& one)
{
    const auto bytes = encode_edit(one);
    return {bytes.begin(), bytes.end()};
}

applied_edit book_machine::apply(const std::string& command)
{
    const auto one = decode_edit({command.begin(), command.end()});
    if (!one) {
        return {plain_answer(edit_outcome::malformed, {}, this->edits.version(), one.error()),
                false};
    }
    return this->edits.apply(*one);
}

std::string book_machine::snapshot() const
{
    const auto bytes = this->edits.snapshot();
    return {bytes.begin(), bytes.end()};
}

bool book_machine::restore(const std::string& bytes)
{
    auto restored = edit_book::restore({bytes.begin(), bytes.end()});
    if (!restored) {
        return false;
    }
    this->edits = std::move(*restored);
    return true;
}

} // namespace bth::control
