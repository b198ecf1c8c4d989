#pragma once

#include "../model/settings.h"
#include "settings_source.h"

namespace tamarack {

/** Reads `[host]` and `[operators]`. */
void read_host(settings_source& source, settings& into);

/** Reads `[listen]`. */
void read_listen(settings_source& source, settings& into);

/** Reads `[seeds]`. */
void read_seeds(settings_source& source, settings& into);

/** Reads `[edge]`. */
void read_edge(settings_source& source, settings& into);

/**
 * Reads `[formation]`. A seed is named by its IP address. The port stated for it is replaced by the port on
 * which this host listens for other hosts.
 */
void read_formation(settings_source& source, settings& into);

/** Reads `[forwarding]`. */
void read_forwarding(settings_source& source, forwarding_settings& into);
void read_ablation(settings_source& source, mechanisms_in_use& into);

/** Reads `[keys]` and `[teams]`. */
void read_teams(settings_source& source, team_settings& into);

/** Reads `[times]`. */
void read_times(settings_source& source, protocol_times& into);

/** Reads `[limits]`. */
void read_limits(settings_source& source, host_limits& into);

} // namespace tamarack
