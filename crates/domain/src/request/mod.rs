//! Requests: what a caller asked for, claims on identifiers, and retries.

mod caller_request;
mod claim_shard;
mod retry_budget;

pub use {
    caller_request::{CallerRequest, RawRequest},
    claim_shard::{CLAIM_SHARDS, ClaimShard, claim_shard},
    retry_budget::RetryBudget,
};
