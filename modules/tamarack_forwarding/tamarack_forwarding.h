/**
 * @file
 * Forwarding of callers' requests to targets by a route table, without I/O.
 *
 * Purpose: a request is sent to one target, to one of several services, or to all shards, whose records are
 * merged; each request gets exactly one correct answer in time, even when targets misbehave or load is high.
 * Dependencies: tamarack_base, tamarack_settings (mechanisms), tamarack_tickets (route table). Uses no
 * sockets, files, threads or clocks: events are passed in with the current time, and actions are returned.
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
#include "fairness/fair_queue.h"
#include "fairness/return_pacing.h"
#include "fairness/team_shares.h"
#include "fairness/waiting_list.h"
#include "limits/limit_share.h"
#include "limits/request_limit.h"
#include "locality/locality_controller.h"
#include "locality/observed_side.h"
#include "placement/abandoned_exchange.h"
#include "placement/connection_backoff.h"
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
