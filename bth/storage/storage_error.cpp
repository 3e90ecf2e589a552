#include "bth/storage/storage_error.h"

namespace bth::storage {

std::string to_string(const storage_error& error)
{
    auto text = error.file;
    if (error.offset != 0) {
        text += " at byte " + std::to_string(error.offset);
    }
    return text + ": " + error.message;
}

} // namespace bth::storage
