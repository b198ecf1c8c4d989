/**
 * @file
 * Passing callers' requests on to targets by a route table, apart from I/O.
 *
 * Purpose: plain requests reach one target, one of several services, or all shards, whose records are merged;
 * each gets one true answer in time while targets misbehave and load is high. Dependencies: tamarack_base,
 * tamarack_tickets (route table). No socket, file, thread or clock: events come in with the time, actions
 * come out.
 */
#pragma once

#include "payload/forward_answer.h"
#include "payload/forward_request.h"
#include "payload/sent_content.h"
#include "payload/target_exchange.h"

#include "crashes/crash_evidence.h"
#include "crashes/crash_loss.h"
#include "crashes/crash_records.h"
#include "crashes/crash_step.h"
#include "crashes/target_incarnation.h"

#include "explain/rate_limiter.h"
#include "explain/request_sampling.h"
#include "explain/request_trace.h"

#include "view/forwarding_view.h"

#include "routes/route_index.h"
#include "routes/split_balancer.h"

#include "merging/record_merge.h"

#include "admission/admission.h"
#include "budget/allowance_share.h"
#include "budget/extra_budget.h"
#include "budget/extra_exchange_charge.h"
#include "placement/connection_share.h"
#include "placement/placement.h"
#include "timing/exchange_timing.h"
#include "timing/request_times.h"
#include "withheld/target_backoff.h"
#include "withheld/withheld_targets.h"

#include "engine/forwarding_actions.h"
#include "engine/forwarding_engine.h"
#include "engine/forwarding_options.h"
#include "engine/forwarding_statistics.h"
