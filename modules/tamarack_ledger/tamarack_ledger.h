/**
 * @file
 * Ledger that makes non-idempotent requests run at most once.
 *
 * Purpose: a request with an idempotency key reaches a target at most once, even if resent through any host.
 * Dependencies: tamarack_base, tamarack_tickets (its JSON reader), JsonCpp.
 * No sockets, files, threads or clocks.
 */
#pragma once

#include "state/claim.h"
#include "state/claim_codec.h"
#include "state/claim_ledger.h"
#include "state/withdrawn_attempts.h"
