/**
 * @file
 * The control host and its client, without I/O: the replicated state, and how hosts obtain it.
 *
 * Purpose: combines the replicated log with tickets, claims, assignments and leases. A decision is reported
 * only after it has been committed. Dependencies: tamarack_base, tamarack_consensus, tamarack_tickets,
 * tamarack_membership (assignments), tamarack_ledger; JsonCpp for the messages' codec. No socket, file,
 * thread or clock.
 */
#pragma once

#include "state/control_command.h"
#include "state/control_state.h"
#include "state/evacuation_orders.h"

#include "messages/control_message.h"
#include "messages/control_message_codec.h"

#include "node/control_actions.h"
#include "node/control_node.h"
#include "node/control_options.h"
#include "node/voter_plan.h"

#include "client/control_client.h"
#include "client/control_client_actions.h"
