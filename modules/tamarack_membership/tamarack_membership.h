/**
 * @file
 * Membership: running hosts, announced targets, the directory for callers, and each host's share of the
 * replicas' limits.
 *
 * Purpose: every host knows within seconds which targets and hosts can be used, at a cost per host that
 * does not grow with their number. Dependencies: tamarack_base, tamarack_tickets; JsonCpp for the message
 * codec. Uses no socket, file, thread or clock.
 */
#pragma once

#include "targets/announcement.h"
#include "targets/announcement_codec.h"
#include "targets/target_registry.h"

#include "hosts/failure_detector.h"
#include "hosts/host_record.h"
#include "hosts/load_reporter.h"
#include "hosts/membership_codec.h"
#include "hosts/membership_message.h"
#include "hosts/update_relays.h"

#include "encoding/update_text.h"

#include "shares/assignment.h"
#include "shares/replica_share.h"

#include "directory/active_hosts.h"
#include "directory/directory_admission.h"
#include "directory/entry_directory.h"
