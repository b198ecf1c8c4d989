/**
 * @file
 * Fan-out of callers' requests over the shards of a service, without I/O.
 *
 * Purpose: answers that are consistent, as complete as possible and sent by the deadline, and that list every
 * missing shard, even when targets fail.
 * Dependencies: tamarack_base, tamarack_tickets (configuration), tamarack_ledger (claims).
 * No sockets, files, threads or clocks: inputs are events with their times, outputs are actions.
 */
#pragma once

#include "view/serving_view.h"

#include "request/caller_request.h"
#include "request/query_answer.h"

#include "exchange/exchange.h"

#include "policies/query_policies.h"

#include "engine/query_actions.h"
#include "engine/query_engine.h"
#include "engine/query_options.h"
#include "engine/query_statistics.h"
