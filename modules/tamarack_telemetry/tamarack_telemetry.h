/**
 * @file
 * Logs, metrics and burn rates of service-level objectives.
 *
 * Purpose: events are counted in metrics; a log line is written only when state changes.
 * Dependencies: tamarack_base, easylogging++, prometheus-cpp (core).
 * Logs go to standard output; metrics are serialised to text, which the daemon serves.
 */
#pragma once

#include "logging/state_log.h"

#include "metrics/metric_catalogue.h"
#include "metrics/metric_registry.h"

#include "burn/burn_rate.h"
