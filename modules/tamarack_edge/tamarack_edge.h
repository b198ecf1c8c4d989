/**
 * @file
 * Interface between the hosts and an external protocol (an edge): decoded messages of callers, targets and
 * operators.
 *
 * Purpose: an edge is a set of codecs; it makes no decisions and holds no state.
 * Dependencies: tamarack_base, tamarack_tickets, tamarack_membership, tamarack_forwarding, tamarack_transport
 * (HTTP messages).
 */
#pragma once

#include "calls/control_call.h"
#include "calls/directory_call.h"

#include "hooks/edge_protocol.h"
