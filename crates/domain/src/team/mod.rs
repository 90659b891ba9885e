//! Permits that keep each team below its ceiling.

mod permit_ledger;
mod team_permits;

pub use {
    permit_ledger::{LEDGER_SHARDS, PermitLedger, ledger_shard},
    team_permits::TeamPermits,
};
