/**
 * @file
 * The interface between the product and a foreign edge: what callers, targets and operators say, decoded.
 *
 * Purpose: an edge is a set of codecs; it decides nothing and holds no state.
 * Dependencies: tamarack_base, tamarack_tickets, tamarack_membership, tamarack_forwarding, tamarack_transport
 * (HTTP messages).
 */
#pragma once

#include "calls/control_call.h"
#include "calls/directory_call.h"

#include "hooks/edge_protocol.h"
