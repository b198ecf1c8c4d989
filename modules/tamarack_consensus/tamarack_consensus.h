/**
 * @file
 * A replicated log based on Raft, without I/O.
 *
 * Purpose: a committed entry stays committed at its index, whatever fails.
 * Dependencies: tamarack_base; JsonCpp for the messages' codec.
 * Uses no socket, file, thread or clock: events are passed in with the time, actions are returned.
 */
#pragma once

#include "state/log_types.h"

#include "messages/raft_message.h"
#include "messages/raft_message_codec.h"

#include "node/raft_actions.h"
#include "node/raft_node.h"
#include "node/raft_options.h"
