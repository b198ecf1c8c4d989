/**
 * @file
 * A simulation in virtual time of targets, connections, entry hosts and the load on them.
 *
 * Purpose: to run the query engine reproducibly against faulty targets, and to compare its policies.
 * Dependencies: tamarack_base, tamarack_tickets, tamarack_ledger, tamarack_query.
 * Uses no sockets, files, threads or real clock; runs with the same seed are identical.
 */
#pragma once

#include "time/event_queue.h"

#include "targets/model_target.h"
#include "targets/service_times.h"

#include "hosts/model_host.h"
#include "hosts/model_ledger.h"

#include "world/deployments.h"
#include "world/model_world.h"
#include "world/world_options.h"
#include "world/world_report.h"
