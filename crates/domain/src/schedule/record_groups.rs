//! How the records of jobs share the transactions that store them.

use std::ops::Range;

/// Records in one transaction. The store allows 32 rows, three of which order the write.
const RECORDS_MAX: usize = 28;
/// Bytes of the records in one transaction, unless one record is longer. A tenth of a second on the
/// slowest link.
const BYTES_MAX: usize = 128 * 1024;

/// What decides in which group a record is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RecordCost {
    /// How often in a row its write has failed while others took effect.
    pub failed_writes: u32,
    /// Its length.
    pub bytes: usize,
}

/// Divides records into groups for one transaction each. Given in the order of their failed writes,
/// those that failed come last, and each time with half as many others: one that can't be stored is
/// soon alone, and holds up no other.
pub fn record_groups(costs: &[RecordCost]) -> Vec<Range<usize>> {
    let mut groups = Vec::new();
    let mut first = 0;
    while first < costs.len() {
        let mut bytes = 0;
        let fitting = (0..).zip(&costs[first..]).take_while(|(before, cost)| {
            bytes += cost.bytes;
            bytes <= BYTES_MAX && *before < RECORDS_MAX >> cost.failed_writes.min(usize::BITS - 1)
        });
        let after = first + fitting.count().max(1);
        groups.push(first..after);
        first = after;
    }
    groups
}
