/**
 * @file
 * Durable state under one data folder: the host's identity, the journal of the replicated log, snapshots.
 *
 * Purpose: what is reported as stored has been synced; what was damaged is recognised.
 * Dependencies: tamarack_base, POSIX files.
 * Knows nothing of the meaning of what it stores. Used from one thread.
 */
#pragma once

#include "folder/data_file.h"
#include "folder/data_folder.h"

#include "journal/journal.h"
