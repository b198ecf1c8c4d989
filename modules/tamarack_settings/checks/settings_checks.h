#pragma once

#include "../model/settings.h"
#include "../parsing/settings_source.h"

namespace tamarack {

/** Reports values that are valid alone but contradict each other: addresses, role and seeds, times. */
void check_consistency(settings_source& source, const settings& value);

/** Reports files and folders that are missing or have the wrong access permissions. */
void check_files(settings_source& source, const settings& value);

} // namespace tamarack
