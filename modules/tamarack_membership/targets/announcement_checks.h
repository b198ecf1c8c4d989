#pragma once

#include "announcement.h"

namespace tamarack {

/**
 * Checks an announcement by itself and against the configuration.
 *
 * @param value     the announcement
 * @param in_force  defines the services with their maps and shards
 * @return done, or the first problem found
 */
outcome<done> check_announcement(const announcement& value, const configuration& in_force);

/** Checks an announcement by itself only, not against the services of the configuration. */
outcome<done> check_announcement_form(const announcement& value);

/**
 * @return done, or an error if a value has changed that must stay fixed within one incarnation of a target
 */
outcome<done> check_same_incarnation(const announcement& before, const announcement& after);

} // namespace tamarack
