/**
 * @file
 * Tickets, the configuration that results from them, and the leases under which hosts serve it.
 *
 * Purpose: the configuration in force is that of the latest accepted ticket, and never an older one again.
 * Dependencies: tamarack_base; JsonCpp for the tickets' text.
 * Uses no socket, file, thread or clock.
 */
#pragma once

#include "model/configuration.h"
#include "model/json_lines.h"
#include "model/json_text.h"
#include "model/object_reader.h"
#include "model/route_table.h"
#include "model/team.h"
#include "model/ticket.h"
#include "model/ticket_codec.h"

#include "checks/ticket_checks.h"

#include "history/ticket_register.h"

#include "lease/lease_holder.h"
#include "lease/lease_table.h"
