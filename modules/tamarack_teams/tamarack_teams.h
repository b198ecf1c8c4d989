/**
 * @file
 * Teams: which team a caller belongs to, and how much of its limit each host may use, without I/O.
 *
 * Purpose: requests are attributed to the team that holds the caller's key, and a team's requests stay within
 * its limit over all hosts. Dependencies: tamarack_base, tamarack_tickets (route table), OpenSSL through
 * tamarack_base. No socket, file, thread or clock.
 */
#pragma once

#include "keys/caller_credentials.h"
#include "keys/team_index.h"

#include "limits/team_limit_client.h"
#include "limits/team_limit_messages.h"
#include "limits/team_limit_server.h"
