//! Requests: validation, claims on request identifiers, and the retry budget.

mod caller_request;
mod claim_shard;
mod retry_budget;

pub use {
    caller_request::{CallerRequest, RawRequest},
    claim_shard::{CLAIM_SHARDS, ClaimShard, claim_shard},
    retry_budget::RetryBudget,
};
