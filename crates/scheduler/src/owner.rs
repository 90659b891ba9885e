//! Ownership of the schedule: claimed in the store under a lease, renewed and released.

use {
    crate::{
        hedged_call,
        leading::{Leadership, lead},
        node::{STORE_TIMEOUT, SchedulerNode, uptime_ms},
        store::{OWNER_KEY, PrefixUpdate, ResumeMode, TERM_KEY, follow_prefix},
    },
    dotterelshore_domain::names::EntryName,
    dotterelshore_platform::{KvFault, KvRow, KvTransaction, WatchEvent},
    dotterelshore_wire::{log_event, timer_hub::jittered_pause},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Lease of the owner's key: four renewal periods, so that three renewals may fail. An owner
/// that crashed is replaced after about this time.
pub(crate) const OWNER_LEASE: Duration = Duration::from_millis(1_200);
/// Time between renewals.
const RENEW_PERIOD: Duration = Duration::from_millis(300);
/// Longest time for the answer to a renewal; twice its latency when the store is slow.
const RENEW_TIMEOUT: Duration = Duration::from_millis(600);
/// How long an owner may give orders after it sent the last successful renewal. Longer than the
/// lease, so that work goes on during short outages of the store. The next owner waits for the
/// difference where it can't reach a worker.
pub(crate) const AUTHORITY_DURATION: Duration = Duration::from_millis(3_800);
/// How long an owner may still give orders after another entry's claim.
pub(crate) const AUTHORITY_OVERLAP: Duration = AUTHORITY_DURATION.saturating_sub(OWNER_LEASE);
/// Longest random delay of a claim, so that entries do not claim at the same time.
const CLAIM_JITTER: Duration = Duration::from_millis(120);
/// Cores that an owner of a few hundred workers should have: three times the 0.16 that an owner
/// of 350 workers uses.
const OWNER_CORES: f64 = 0.5;
/// Network link that such an owner should have, in Mbit/s: 800 polls/s with some 25 runs each
/// take 13 Mbit/s, and peaks are several times that.
const OWNER_MBPS: f64 = 100.0;
/// Longest further delay of a process with less than these resources.
const CLAIM_WEAK_DELAY: Duration = Duration::from_millis(300);
/// How long an owner that handed over because its processor was slowed leaves the claim to others.
const CLAIM_SLOWED_DELAY: Duration = Duration::from_secs(1);
/// Pause after a failed claim.
const CLAIM_RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Longest time for the handover at shutdown.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(1_200);

/// The value of the owner's key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct OwnerRecord {
    /// The name of the entry that owns the schedule.
    pub(crate) name: EntryName,
    /// Its address for calls from other entries.
    pub(crate) address: SocketAddr,
    /// The random number that identifies the run of its process.
    pub(crate) incarnation: u64,
    /// Random id of the claim: a claim whose answer was lost may take effect after a later one.
    pub(crate) claim: u64,
}

/// A successful claim of ownership.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OwnerClaim {
    /// The store's lease on the owner's key.
    pub(crate) lease: u64,
    /// The fencing token: the store revision of the claim.
    pub(crate) token: u64,
    /// The term: the number of successful claims so far, from 1.
    pub(crate) term: u32,
    /// When the call for the lease was sent, in [`uptime_ms`].
    pub(crate) sent_ms: u64,
}

/// Starts the tasks that follow and claim ownership.
pub(crate) fn start(node: &Arc<SchedulerNode>) {
    let following_node = Arc::clone(node);
    let node = Arc::clone(node);
    let (read_sender, mut first_read) = tokio::sync::watch::channel(false);
    tokio::spawn(async move {
        let applying_node = Arc::clone(&following_node);
        follow_prefix(
            &following_node,
            OWNER_KEY,
            ResumeMode::Reread,
            None,
            move |update| {
                apply_update(&applying_node, update);
                read_sender.send_replace(true);
            },
        )
        .await;
    });
    tokio::spawn(async move {
        if first_read.wait_for(|read| *read).await.is_ok() {
            claim_while_vacant(node).await;
        }
    });
}

/// Publishes the owner that an update of the owner's key names.
fn apply_update(node: &SchedulerNode, update: PrefixUpdate) {
    let owner = match update {
        PrefixUpdate::Snapshot(page) => page.rows.first().and_then(parse_owner),
        PrefixUpdate::Change(WatchEvent::Written(row)) => parse_owner(&row),
        PrefixUpdate::Change(WatchEvent::Removed { .. }) => None,
    };
    node.owner.send_if_modified(|known| {
        if *known == owner {
            return false;
        }
        let name = owner.as_ref().map_or("nobody", |owner| owner.name.as_str());
        log_event!(Info, "owner-changed", owner = name);
        *known = owner;
        true
    });
}

fn parse_owner(row: &KvRow) -> Option<OwnerRecord> {
    serde_json::from_slice(&row.value)
        .inspect_err(|error| {
            log_event!(
                Warn,
                "owner-unreadable",
                revision = row.revision,
                error = error
            );
        })
        .ok()
}

/// Claims ownership whenever there is no owner, until the process shuts down.
async fn claim_while_vacant(node: Arc<SchedulerNode>) {
    let mut owner = node.owner.subscribe();
    let mut shutdown = node.shutdown.subscribe();
    loop {
        tokio::select! {
            _ = shutdown.wait_for(|shutdown| *shutdown) => return,
            vacant = owner.wait_for(Option::is_none) => if vacant.is_err() { return },
        }
        tokio::time::sleep(claim_delay(node.settings.cores, node.settings.link_mbps)).await;
        if node.owner.borrow().is_some() || *node.shutdown.borrow() {
            continue;
        }
        match claim(&node, None).await {
            Ok(claim) => hold_ownership(&node, claim).await,
            Err(fault) => {
                log_event!(Info, "claim-failed", reason = fault);
                node.metrics.count_retry("claim");
                tokio::time::sleep(jittered_pause(CLAIM_RETRY_PAUSE)).await;
            }
        }
    }
}

/// Delay of a claim: longer on a process with few cores or a narrow network link, so that an
/// entry with enough resources becomes the owner.
fn claim_delay(cores: f64, link_mbps: f64) -> Duration {
    let resource_ratio = (cores / OWNER_CORES).min(link_mbps / OWNER_MBPS);
    let shortfall = (1.0 - resource_ratio).clamp(0.0, 1.0);
    CLAIM_WEAK_DELAY.mul_f64(shortfall) + jittered_pause(CLAIM_JITTER)
}

/// Claims ownership. With `previous`, the claim fails if another entry has owned the schedule
/// since.
async fn claim(node: &SchedulerNode, previous: Option<&OwnerClaim>) -> Result<OwnerClaim, KvFault> {
    let (term_revision, term) = match previous {
        Some(claim) => (claim.token, claim.term),
        None => read_term(node).await?,
    };
    let sent_ms = uptime_ms();
    let ttl = OWNER_LEASE.max(node.settings.lease_min);
    let creating = hedged_call::call(node, STORE_TIMEOUT, || node.kv.create_lease(ttl));
    let (lease, _) = creating.await?;
    let record = OwnerRecord {
        name: node.settings.name.clone(),
        address: node.settings.peers,
        incarnation: node.incarnation,
        claim: rand::random(),
    };
    let value = serde_json::to_vec(&record).map_err(|error| KvFault::NotApplied {
        detail: error.to_string(),
    })?;
    let term = term + 1;
    let transaction = KvTransaction::default()
        .expect(OWNER_KEY, 0)
        .expect(TERM_KEY, term_revision)
        .write(OWNER_KEY, &value, lease)
        .write(TERM_KEY, term.to_string().as_bytes(), 0);
    let won = match hedged_call::commit(node, &transaction).await {
        Err(KvFault::OutcomeUnknown { .. }) => confirm_claim(node, &value).await,
        Err(KvFault::Conflict { rows }) => won_before(rows, &value),
        won => won,
    };
    match won {
        Ok(token) => Ok(OwnerClaim {
            lease,
            token,
            term,
            sent_ms,
        }),
        Err(fault) => {
            // Without its lease, the claim can no longer take effect.
            if let Err(error) = node.kv.revoke_lease(lease).await {
                log_event!(Debug, "lease-not-ended", error = error);
            }
            Err(fault)
        }
    }
}

async fn read_term(node: &SchedulerNode) -> Result<(u64, u32), KvFault> {
    match node.kv.read(TERM_KEY).await {
        Ok(row) => {
            let text = String::from_utf8_lossy(&row.value);
            let term = text.parse().map_err(|error| KvFault::Unreadable {
                detail: format!("term '{text}': {error}"),
            })?;
            Ok((row.revision, term))
        }
        Err(KvFault::KeyNotFound) => Ok((0, 0)),
        Err(fault) => Err(fault),
    }
}

/// Returns the revision of a claim that took effect at an earlier attempt.
fn won_before(rows: Vec<KvRow>, value: &[u8]) -> Result<u64, KvFault> {
    let mut own = rows
        .iter()
        .filter(|row| row.key == OWNER_KEY && row.value == value);
    match own.next() {
        Some(row) => Ok(row.revision),
        None => Err(KvFault::Conflict { rows }),
    }
}

/// Reads back whether a claim whose answer was lost took effect; returns its revision.
async fn confirm_claim(node: &SchedulerNode, value: &[u8]) -> Result<u64, KvFault> {
    let row = node.kv.read(OWNER_KEY).await?;
    if row.value == value {
        return Ok(row.revision);
    }
    Err(KvFault::Conflict { rows: vec![row] })
}

/// Leads the schedule until ownership ends, then hands over if the process shuts down.
async fn hold_ownership(node: &Arc<SchedulerNode>, mut claim: OwnerClaim) {
    log_event!(
        Warn,
        "ownership-won",
        token = claim.token,
        term = claim.term
    );
    let leadership = Arc::new(Leadership::new(node, claim));
    let leading = tokio::spawn(lead(Arc::clone(node), Arc::clone(&leadership), claim));
    let reason = renew(node, &leadership, &mut claim).await;
    leadership.end();
    node.leading.send_replace(None);
    leading.abort();
    log_event!(
        Warn,
        "ownership-ended",
        token = claim.token,
        reason = reason
    );
    if matches!(reason, "leaving" | "slowed") {
        leadership.record_final_state(node, claim.term).await;
    }
    if matches!(reason, "leaving" | "slowed" | "task-failed") {
        if let Err(error) = node.kv.revoke_lease(claim.lease).await {
            log_event!(Warn, "lease-not-ended", error = error);
        }
        node.owner.send_replace(None);
    }
    if reason == "slowed" {
        tokio::time::sleep(CLAIM_SLOWED_DELAY).await;
    }
}

/// Renews the lease until ownership ends; returns the reason.
async fn renew(
    node: &Arc<SchedulerNode>,
    leadership: &Leadership,
    claim: &mut OwnerClaim,
) -> &'static str {
    let mut shutdown = node.shutdown.subscribe();
    let mut owner = node.owner.subscribe();
    let own_incarnation = node.incarnation;
    let mut is_failing = false;
    loop {
        tokio::select! {
            _ = shutdown.wait_for(|shutdown| *shutdown) => return "leaving",
            _ = owner.wait_for(|owner| {
                owner.as_ref().is_some_and(|o| o.incarnation != own_incarnation)
            }) => {
                return "another-owner";
            }
            () = leadership.fenced() => return "fenced",
            () = leadership.task_failed() => return "task-failed",
            () = leadership.slowed() => return "slowed",
            () = tokio::time::sleep(RENEW_PERIOD) => {}
        }
        let sent_ms = uptime_ms();
        let renew = || node.kv.renew_lease(claim.lease, RENEW_TIMEOUT);
        match hedged_call::call(node, RENEW_TIMEOUT, renew).await {
            Ok(()) => {
                leadership.extend_authority(sent_ms);
                if std::mem::take(&mut is_failing) {
                    log_event!(Info, "renewal-regained", token = claim.token);
                }
            }
            Err(KvFault::LeaseEnded) => match self::claim(node, Some(claim)).await {
                Ok(new_claim) => {
                    log_event!(Warn, "ownership-won-back", token = new_claim.token);
                    *claim = new_claim;
                    leadership.resume_under_claim(new_claim);
                }
                Err(KvFault::Conflict { .. }) => return "lease-ended",
                Err(fault) => log_event!(Warn, "claim-failed", reason = fault),
            },
            Err(fault) => {
                node.metrics.count_retry("renewal");
                if !std::mem::replace(&mut is_failing, true) {
                    log_event!(Warn, "renewal-failed", token = claim.token, error = fault);
                }
            }
        }
    }
}

/// Waits until this process no longer owns the schedule, for at most [`HANDOVER_TIMEOUT`].
pub(crate) async fn hand_over(node: &SchedulerNode) {
    let mut owner = node.owner.subscribe();
    let own_incarnation = node.incarnation;
    let released = owner.wait_for(|owner| {
        owner
            .as_ref()
            .is_none_or(|o| o.incarnation != own_incarnation)
    });
    if tokio::time::timeout(HANDOVER_TIMEOUT, released)
        .await
        .is_err()
    {
        log_event!(Warn, "handover-timeout");
    }
}
