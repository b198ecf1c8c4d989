#pragma once

#include <tamarack_consensus/tamarack_consensus.h>
#include <tamarack_storage/tamarack_storage.h>

namespace tamarack {

/**
 * Restores the state of a log member from the content of a journal.
 *
 * @return the state, or `damaged` if a record can't be decoded
 */
outcome<recovered_log> recover_log(const journal_content& content);

/** @return the journal write that persists a change of the log */
journal_write to_journal_write(const persist_change& change);

} // namespace tamarack
