/**
 * @file
 * Settings of the daemon: read from an INI file and validated.
 *
 * Purpose: every mistake in a settings file is reported at once, with section, key, value and what is
 * allowed. Dependencies: tamarack_base, Boost.PropertyTree. Reads one file; writes none.
 */
#pragma once

#include "model/forwarding_mechanism.h"
#include "model/locality_mode.h"
#include "model/settings.h"

#include "model/settings_reader.h"
