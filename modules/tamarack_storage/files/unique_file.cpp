#include "unique_file.h"

#include <unistd.h>

namespace tamarack {

void unique_file::reset() {
    if (m_descriptor >= 0) {
        ::close(std::exchange(m_descriptor, -1));
    }
}

} // namespace tamarack
