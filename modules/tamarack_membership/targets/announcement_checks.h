#pragma once

#include "announcement.h"

namespace tamarack {

/** Limits on the lists and names in an announcement. */
struct announcement_bounds {
    std::size_t versions = 16;
    std::size_t name_bytes = 200;
};

/**
 * Checks an announcement by itself and against the configuration.
 *
 * @param value     the announcement
 * @param in_force  defines the services with their maps and shards
 * @return done, or the first problem found
 */
outcome<done> check_announcement(const announcement& value, const configuration& in_force,
                                 const announcement_bounds& bounds = {});

/** Checks an announcement by itself only, not against the services of the configuration. */
outcome<done> check_announcement_form(const announcement& value, const announcement_bounds& bounds = {});

/**
 * @return done, or an error if a value has changed that must stay fixed within one incarnation of a target
 */
outcome<done> check_same_incarnation(const announcement& before, const announcement& after);

} // namespace tamarack
