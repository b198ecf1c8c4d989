/**
 * @file
 * Durable state under one data folder: the host's identity, the journal of the replicated log, snapshots.
 *
 * Purpose: data is synced before it is reported as stored, and damaged data is detected.
 * Dependencies: tamarack_base, POSIX files.
 * The content of journals and data files is opaque to this module. Must be used from one thread only.
 */
#pragma once

#include "folder/data_file.h"
#include "folder/data_folder.h"

#include "journal/journal.h"
