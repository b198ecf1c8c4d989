/**
 * @file
 * HTTP/1.1 servers and clients and JSON-RPC between hosts.
 *
 * Purpose: contains all socket code; its public headers don't include Asio or Beast.
 * Dependencies: tamarack_base, Boost.Asio, Boost.Beast, libjsonrpccpp (its codec and dispatch).
 * Each object belongs to one worker_thread and must be used only on that thread.
 */
#pragma once

#include "threads/timer_loop.h"
#include "threads/worker_thread.h"

#include "http/http_client.h"
#include "http/http_message.h"
#include "http/http_server.h"

#include "hosts/host_dispatcher.h"
#include "hosts/host_link.h"
#include "hosts/send_window.h"
