//! Who owns the schedule: claimed in the store under a lease, renewed, given up.

use {
    crate::{
        leading::{Leadership, lead},
        node::{SchedulerNode, uptime_ms},
        store::{AfterFault, FollowStep, OWNER_KEY, TERM_KEY, follow},
    },
    dotterelshore_domain::names::EntryName,
    dotterelshore_platform::{KeyRow, KvFault, KvTransaction, WatchEvent},
    dotterelshore_wire::{log_event, timer_hub::jittered_pause},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// How long the owner's key lasts without a renewal. Three missed renewals; an owner that
/// is gone is replaced after about this time.
pub(crate) const OWNER_LEASE: Duration = Duration::from_millis(1_200);
/// Time between renewals.
const RENEW_PERIOD: Duration = Duration::from_millis(300);
/// Longest time for the answer to a renewal; twice its answer when the store is slow.
const RENEW_TIMEOUT: Duration = Duration::from_millis(600);
/// How long an owner goes on after the renewal that succeeded last was sent. Longer than
/// the lease, so that work goes on while the store is away for a short time; the next owner
/// waits for the difference where it can't reach a worker.
pub(crate) const AUTHORITY: Duration = Duration::from_millis(3_800);
/// How long after another's claim an owner may still act.
pub(crate) const OUTLASTS_CLAIM: Duration = AUTHORITY.saturating_sub(OWNER_LEASE);
/// Longest pause of a strong process before a claim, so that entries do not claim all at once.
const CLAIM_SPREAD: Duration = Duration::from_millis(120);
/// Processor that an owner of a few hundred workers should have, in cores: three times the
/// 0.16 measured with 350.
const OWNER_CORES: f64 = 0.5;
/// Link that such an owner should have, in megabits a second: 800 lists a second of some
/// 25 runs are 13, and peaks are several times that.
const OWNER_MBPS: f64 = 100.0;
/// Longest further pause of a process that has less.
const CLAIM_WEAK: Duration = Duration::from_millis(300);
/// Pause after a claim that failed.
const CLAIM_PAUSE: Duration = Duration::from_millis(250);
/// Longest time for giving the schedule away on leaving.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(1_200);

/// The owner's key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct OwnerNotice {
    /// The entry.
    pub(crate) name: EntryName,
    /// Where it answers other entries.
    pub(crate) address: SocketAddr,
    /// Which life of it.
    pub(crate) incarnation: u64,
    /// Which of its claims: one whose answer was lost may take effect after a later one.
    pub(crate) claim: u64,
}

/// Ownership that was won.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OwnerClaim {
    /// The store's lease under which the key stands.
    pub(crate) lease: u64,
    /// The revision of the claim: the fencing token.
    pub(crate) token: u64,
    /// How often the schedule has changed its owner, from 1.
    pub(crate) term: u32,
    /// When the lease was asked for, in [`uptime_ms`].
    pub(crate) sent_ms: u64,
}

/// Starts the tasks that follow and claim ownership.
pub(crate) fn start(node: &Arc<SchedulerNode>) {
    let following = Arc::clone(node);
    let node = Arc::clone(node);
    let (read, mut first_read) = tokio::sync::watch::channel(false);
    tokio::spawn(async move {
        let taking = Arc::clone(&following);
        follow(
            &following,
            OWNER_KEY,
            AfterFault::ReadAnew,
            None,
            move |step| {
                take_step(&taking, step);
                read.send_replace(true);
            },
        )
        .await;
    });
    tokio::spawn(async move {
        if first_read.wait_for(|read| *read).await.is_ok() {
            claim_for_ever(node).await;
        }
    });
}

fn take_step(node: &SchedulerNode, step: FollowStep) {
    let owner = match step {
        FollowStep::Whole(rows) => rows.first().and_then(read_notice),
        FollowStep::Change(WatchEvent::Written(row)) => read_notice(&row),
        FollowStep::Change(WatchEvent::Removed { .. }) => None,
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

fn read_notice(row: &KeyRow) -> Option<OwnerNotice> {
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

async fn claim_for_ever(node: Arc<SchedulerNode>) {
    let mut owner = node.owner.subscribe();
    let mut leaving = node.leaving.subscribe();
    loop {
        tokio::select! {
            _ = leaving.wait_for(|leaving| *leaving) => return,
            nobody = owner.wait_for(Option::is_none) => if nobody.is_err() { return },
        }
        tokio::time::sleep(claim_pause(node.settings.cores, node.settings.link_mbps)).await;
        if node.owner.borrow().is_some() || *node.leaving.borrow() {
            continue;
        }
        match claim(&node, None).await {
            Ok(claim) => hold_ownership(&node, claim).await,
            Err(fault) => {
                log_event!(Info, "claim-failed", reason = fault);
                node.metrics.count_retry("claim");
                tokio::time::sleep(jittered_pause(CLAIM_PAUSE)).await;
            }
        }
    }
}

/// The pause before a claim: longer on a process with little processor or a thin link, so
/// that the owner is one that can bear the work.
fn claim_pause(cores: f64, link_mbps: f64) -> Duration {
    let fitting = (cores / OWNER_CORES).min(link_mbps / OWNER_MBPS);
    let lacking = (1.0 - fitting).clamp(0.0, 1.0);
    CLAIM_WEAK.mul_f64(lacking) + jittered_pause(CLAIM_SPREAD)
}

/// Claims ownership; after `held`, only if nobody else had it since.
async fn claim(node: &SchedulerNode, held: Option<&OwnerClaim>) -> Result<OwnerClaim, KvFault> {
    let (term_revision, term) = match held {
        Some(claim) => (claim.token, claim.term),
        None => read_term(node).await?,
    };
    let sent_ms = uptime_ms();
    let length = OWNER_LEASE.max(node.settings.lease_min);
    let (lease, _) = node.kv.create_lease(length).await?;
    let notice = OwnerNotice {
        name: node.settings.name.clone(),
        address: node.settings.peers,
        incarnation: node.incarnation,
        claim: rand::random(),
    };
    let value = serde_json::to_vec(&notice).map_err(|error| KvFault::NotApplied {
        detail: error.to_string(),
    })?;
    let term = term + 1;
    let write = KvTransaction::default()
        .expect(OWNER_KEY, 0)
        .expect(TERM_KEY, term_revision)
        .write(OWNER_KEY, &value, lease)
        .write(TERM_KEY, term.to_string().as_bytes(), 0);
    let won = match node.kv.commit(&write).await {
        Err(KvFault::OutcomeUnknown { .. }) => confirm_claim(node, &value).await,
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
            // A claim that still takes effect would be under a lease that has ended.
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

/// Reads whether a claim whose answer was lost took effect.
async fn confirm_claim(node: &SchedulerNode, value: &[u8]) -> Result<u64, KvFault> {
    let row = node.kv.read(OWNER_KEY).await?;
    if row.value == value {
        return Ok(row.revision);
    }
    Err(KvFault::Conflict { rows: vec![row] })
}

async fn hold_ownership(node: &Arc<SchedulerNode>, mut claim: OwnerClaim) {
    log_event!(
        Info,
        "ownership-won",
        token = claim.token,
        term = claim.term
    );
    let leadership = Arc::new(Leadership::new(claim));
    let leading = tokio::spawn(lead(Arc::clone(node), Arc::clone(&leadership), claim));
    let reason = renew(node, &leadership, &mut claim).await;
    leadership.end();
    node.leading.send_replace(None);
    leading.abort();
    log_event!(
        Info,
        "ownership-ended",
        token = claim.token,
        reason = reason
    );
    if reason == "leaving" {
        leadership.record_last(node, claim.term).await;
        if let Err(error) = node.kv.revoke_lease(claim.lease).await {
            log_event!(Warn, "lease-not-ended", error = error);
        }
        node.owner.send_replace(None);
    }
}

/// Renews until ownership ends; returns why.
async fn renew(
    node: &Arc<SchedulerNode>,
    leadership: &Leadership,
    claim: &mut OwnerClaim,
) -> &'static str {
    let mut leaving = node.leaving.subscribe();
    let mut owner = node.owner.subscribe();
    let mine = node.incarnation;
    let mut failing = false;
    loop {
        tokio::select! {
            _ = leaving.wait_for(|leaving| *leaving) => return "leaving",
            _ = owner.wait_for(|owner| owner.as_ref().is_some_and(|o| o.incarnation != mine)) => {
                return "another-owner";
            }
            () = leadership.fenced() => return "fenced",
            () = tokio::time::sleep(RENEW_PERIOD) => {}
        }
        let sent_ms = uptime_ms();
        match node.kv.renew_lease(claim.lease, RENEW_TIMEOUT).await {
            Ok(()) => {
                leadership.renewed(sent_ms);
                if std::mem::take(&mut failing) {
                    log_event!(Info, "renewal-regained", token = claim.token);
                }
            }
            Err(KvFault::LeaseEnded) => match self::claim(node, Some(claim)).await {
                Ok(again) => {
                    log_event!(Info, "ownership-won-back", token = again.token);
                    *claim = again;
                    leadership.won_back(again);
                }
                Err(KvFault::Conflict { .. }) => return "lease-ended",
                Err(fault) => log_event!(Warn, "claim-failed", reason = fault),
            },
            Err(fault) => {
                node.metrics.count_retry("renewal");
                if !std::mem::replace(&mut failing, true) {
                    log_event!(Warn, "renewal-failed", token = claim.token, error = fault);
                }
            }
        }
    }
}

/// Waits until this process has given the schedule away, if it owned it.
pub(crate) async fn hand_over(node: &SchedulerNode) {
    let mut owner = node.owner.subscribe();
    let mine = node.incarnation;
    let given = owner.wait_for(|owner| owner.as_ref().is_none_or(|o| o.incarnation != mine));
    if tokio::time::timeout(HAND_OVER_TIMEOUT, given)
        .await
        .is_err()
    {
        log_event!(Warn, "hand-over-late");
    }
}
