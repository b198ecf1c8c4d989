/**
 * @file
 * Basic types shared by all modules: results, errors, identifiers, time, seeded random numbers, hashes,
 * compressed texts, invariants and the bounded ring.
 *
 * Purpose: one definition of each small value type, so that modules exchange typed values.
 * Dependencies: the standard library, Boost.Lockfree, OpenSSL (SHA-256, Base64), xxHash, zlib.
 * Accesses no sockets, files or clocks.
 */
#pragma once

#include "naming/name_table.h"

#include "errors/error.h"
#include "errors/invariant.h"
#include "errors/outcome.h"

#include "time/time.h"

#include "units/sizes.h"

#include "variants/overloaded.h"

#include "identity/identifiers.h"

#include "encoding/compressed_text.h"

#include "hashing/digest.h"
#include "hashing/stable_hash.h"

#include "random/random_source.h"

#include "concurrency/bounded_ring.h"
